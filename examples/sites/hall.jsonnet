// The laboratory's own site: two kinds of machine, three plans, a near network.
import 'site.libsonnet'
