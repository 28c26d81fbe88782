// A planner: to the scheduler it is one host, whatever the number of its edges.  Addresses are its own, so that
// it runs beside its edge on one machine.
(import 'gateway.jsonnet') + {
  name: 'planner-1',
  pair: { listen: '127.0.0.1:7400' },
  observe+: { admin: '127.0.0.1:9902' },
}
