// Large units: saves of one to eight units in one volume, most of the work is theirs.
local site = import 'site.libsonnet';
site {
  name: 'large',
  machines: [{ cores: 4, speed: 1.0, unit_ms: 18, base_ms: 4, queue: 48 }],
  traffic: {
    methods: { GET: 0.5, PUT: 0.45, PROPFIND: 0.03, DELETE: 0.02 },
    put_least_bytes: 512, put_most_bytes: 8192,
  },
}
