// Few heavy volumes: one for each node, each through many dispatchers, none with a limit.
local site = import 'site.libsonnet';
site {
  name: 'heavy',
  plans: {
    pro: { figures: { weight: 2, rate: 20, reserve: 20 }, traffic: 1.0 },
    prioritario: { figures: { weight: 3, rate: 30, reserve: 30 }, traffic: 1.5 },
  },
  volumes: { per_node: 1, shards_least: 1, shards_most: 2, writers_least: 2, writers_most: 8, objects: 400 },
}
