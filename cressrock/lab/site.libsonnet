// What a laboratory site is like unless its file says otherwise:  local site = import "site.libsonnet";
// Figures are of no particular place: two kinds of machine, three plans, short requests on a near network.
{
  name: 'hall',
  machines: [
    { cores: 2, speed: 1.0, unit_ms: 18, base_ms: 2, queue: 24, warm_up_ms: 10000 },
    { cores: 2, speed: 0.8, unit_ms: 18, base_ms: 2, queue: 24, warm_up_ms: 10000 },
  ],
  network: { least_ms: 0.1, most_ms: 0.6 },
  plans: {
    base: {
      figures: { weight: 1, rate: 4, reserve: 2, limit_rate: 24, limit_burst: 48, limit_slack: 8 },
      traffic: 1.0,
    },
    pro: { figures: { weight: 2, rate: 6, reserve: 7 }, traffic: 1.5 },
    prioritario: { figures: { weight: 3, rate: 9, reserve: 11 }, traffic: 2.5 },
  },
  classes: [
    {
      name: 'lettura', methods: ['GET', 'HEAD', 'PROPFIND'], aim_ms: 300, deadline_ms: 1500,
      worth: 3, late_worth: 0.1, effect: 'repeatable',
    },
    {
      name: 'scrittura', methods: ['PUT', 'DELETE', 'MKCOL', 'COPY', 'MOVE', 'LOCK', 'UNLOCK'],
      aim_ms: 500, deadline_ms: 4000, worth: 2, late_worth: 0.2, effect: 'keyed', group: 'shard',
      repeat_window_ms: 4000,
    },
    {
      name: 'stato', methods: ['PROPPATCH'], aim_ms: 500, deadline_ms: 4000, worth: 2, late_worth: 0.2,
      effect: 'keyed', group: 'shard', repeat_window_ms: 4000, in_turn: true,
    },
  ],
  scheduler: {
    tick_ms: 2, max_attempts: 3, may_cancel: true, answer_slack_ms: 8, drain_grace_ms: 250,
    ask_every_ms: 10000, budget_window_ms: 5000, budget_free: 3, budget_share: 0.1,
    usual_units: 1.5, meter_period_ms: 1000, order_settle_ms: 300,
  },
  units: { unit_bytes: 1024, most: 8 },
}
