// A long way: 40 ms each way between host and node, and aims that allow for it.
local site = import 'site.libsonnet';
site {
  name: 'far',
  network: { nodes_least_ms: 38, nodes_most_ms: 42 },
  classes: [c { aim_ms: c.aim_ms + 100, deadline_ms: c.deadline_ms + 1000 } for c in site.classes],
}
