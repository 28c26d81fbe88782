// Hundreds of light volumes, each through one dispatcher.
local site = import 'site.libsonnet';
site {
  name: 'light',
  plans: {
    base: site.plans.base { figures+: { rate: 0.5, reserve: 0.25 } },
    pro: site.plans.pro { figures+: { rate: 0.75, reserve: 0.9 } },
    prioritario: site.plans.prioritario { figures+: { rate: 1.1, reserve: 1.4 } },
  },
  volumes: { per_node: 60, shards_least: 1, shards_most: 1, writers_least: 1, writers_most: 1, objects: 4 },
}
