// An edge of the planner in planner.jsonnet; both share the settings of gateway.jsonnet, but for the addresses that
// each process on one machine needs for itself.
//   cressrock lab nodes --listen 127.0.0.1:9900 &
//   cressrock plan examples/planner.jsonnet &
//   cressrock edge examples/edge.jsonnet
(import 'gateway.jsonnet') + {
  name: 'edge-1',
  pair: { planners: ['127.0.0.1:7400'] },
  front+: { listen: '127.0.0.1:8081' },
  observe+: { admin: '127.0.0.1:9903' },
}
