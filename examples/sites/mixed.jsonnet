// Mixed speeds in one hall: the fastest node is six times the slowest.
local site = import 'site.libsonnet';
site {
  name: 'mixed',
  machines: [
    { cores: 4, speed: 1.5, unit_ms: 18, base_ms: 2, queue: 48 },
    { cores: 2, speed: 1.0, unit_ms: 18, base_ms: 2, queue: 24 },
    { cores: 1, speed: 1.0, unit_ms: 18, base_ms: 2, queue: 24 },
    { cores: 2, speed: 0.5, unit_ms: 18, base_ms: 2, queue: 24 },
  ],
}
