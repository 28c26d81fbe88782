// Slow nodes: an uncrowded answer takes a sixth to a third of the aim.
local site = import 'site.libsonnet';
site {
  name: 'slow',
  machines: [
    { cores: 2, speed: 1.0, unit_ms: 45, base_ms: 2, queue: 24 },
    { cores: 2, speed: 0.8, unit_ms: 45, base_ms: 2, queue: 24 },
  ],
}
