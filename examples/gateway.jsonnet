// A dispatcher in front of three storage nodes.  Try it with stand-ins:
//   cressrock lab nodes --listen 127.0.0.1:9900 &
//   cressrock serve examples/gateway.jsonnet
local c = import 'cressrock.libsonnet';
{
  name: 'hall-a-1',
  classes: c.classes,
  plans: {
    // Units a second over all dispatchers and nodes; a unit is one begun 64 KiB.
    base: { weight: 1, rate: 20, reserve: 10, limit_rate: 60, limit_burst: 60, limit_slack: 8 },
    pro: { weight: 2, rate: 40, reserve: 40 },
  },
  volumes: { glossaries: c.volume([0, 1, 2], plan='pro'), demo: c.volume([0, 1, 2], plan='base') },
  node_list: { address: '127.0.0.1:9900', poll_ms: 500 },
  front: { listen: '127.0.0.1:8080' },
  observe: { admin: '127.0.0.1:9901' },
}
