// The defaults that a settings file builds on:  local c = import "cressrock.libsonnet";
// Figures are starting values, to be set to what the site's nodes and clients are like.
{
  // Reading may be repeated; all that changes something carries a key that the nodes of a shard drop.
  read(name='read', aim_ms=500, deadline_ms=10000):: {
    name: name,
    methods: ['GET', 'HEAD', 'PROPFIND'],
    aim_ms: aim_ms,
    deadline_ms: deadline_ms,
    effect: 'repeatable',
  },
  write(name='write', aim_ms=800, deadline_ms=15000, window_ms=10000):: {
    name: name,
    methods: ['PUT', 'DELETE', 'MKCOL', 'COPY', 'MOVE', 'PROPPATCH', 'LOCK', 'UNLOCK'],
    aim_ms: aim_ms,
    deadline_ms: deadline_ms,
    effect: 'keyed',
    group: 'shard',
    repeat_window_ms: window_ms,
  },
  // Uploads that take longer than any aim: they wait for their client, not for a node.
  bulk(name='bulk', deadline_ms=3600000, window_ms=10000):: {
    name: name,
    methods: ['PUT'],
    aim_ms: 60000,
    deadline_ms: deadline_ms,
    worth: 0.5,
    effect: 'keyed',
    group: 'shard',
    repeat_window_ms: window_ms,
  },
  classes:: [$.read(), $.write() { methods: ['PUT'], max_bytes: 1048576, name: 'save' }, $.bulk(),
             $.write() { methods: ['DELETE', 'MKCOL', 'COPY', 'MOVE', 'PROPPATCH', 'LOCK', 'UNLOCK'] }],
  plans:: { standard: { weight: 1 } },
  volume(shards, plan='standard', writers=1):: { shards: shards, plan: plan, writers: writers },
}
