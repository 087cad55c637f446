// Callers of the simulation: their calls, attempts and what became of them.
#include "fleetworld.h"

#include <algorithm>

namespace
{
const int64_t kBucketUs = 100000;

// What distinguishes the kinds of calls: shares, objectives and shares of
// writes as during a sales event of online shops.
const struct
{
  const char *prefix; // of the databases
  double share;
  int64_t objective_us;
  double writes;
} call_kinds[FLEET_KINDS] = { { "fresh", 0.15, 300000, 0.2 },
                              { "bounded", 0.15, 600000, 0 },
                              { "own", 0.7, 500000, 0.12 } };

void
CloseSession (FleetCaller *c)
{
  struct ses *s = c->session;

  c->session = nullptr;
  if (s)
    plr_close_session (c->vm->pooler, s, c->vm->world->now_us);
}

// Sends the next statement of C: BEGIN, a read or write, or COMMIT.
void
SendNext (FleetCaller *c, bool begin)
{
  struct stm s = {};

  if (!c->session)
    return;
  s.id = c->database.c_str ();
  s.args = "a 1";
  s.kind = c->call.writes ? STM_WRITE : STM_READ;
  if (begin)
    s.kind = c->call.kind == FLEET_FRESH || c->call.writes ? STM_BEGIN
                                                           : STM_BEGIN_READ;
  else if (c->call.transaction && --c->statements_left == 0)
    s.kind = STM_COMMIT;
  plr_run_statement (c->vm->pooler, c->session, &s, c->vm->world->now_us);
}

// Starts an attempt of C at a random proxy.
void
StartAttempt (FleetWorld *w, FleetCaller *c)
{
  c->vm = w->vms[w->random () % w->vms.size ()].get ();
  if (!c->vm->up)
    return;
  c->attempt_us = w->now_us;
  c->paused_us = 0;
  c->statements_left = w->o.statements + 1;
  enum sqc code;
  c->session = plr_open_session (c->vm->pooler, c->tag, c->database.c_str (),
                                 nullptr, w->now_us, &code);
  SendNext (c, c->call.transaction);
}

// Ends the present attempt of C, and repeats the call if it was refused.
void
EndAttempt (FleetCaller *c, bool ok)
{
  const int64_t early_us = 50000;
  FleetWorld *w = c->vm->world;

  c->ok = ok;
  c->ended_us = w->now_us;
  w->At (c->vm, 0, [c] { CloseSession (c); });
  if (ok)
    return;
  w->refusals++;
  w->early_refusals
      += w->now_us - c->attempt_us - c->paused_us <= early_us ? 1 : 0;
  if (c->retries_left-- > 0)
    w->At (w->o.retry_after_us, [w, c] { StartAttempt (w, c); });
}
} // namespace

void
OnCallerReply (FleetCaller *c, const struct stm_result *result)
{
  FleetWorld *w = c->vm->world;
  int64_t pause_us = w->o.pause_us;
  bool began = c->statements_left == w->o.statements + 1;

  if (!result->ok || result->state == STM_IDLE)
    {
      EndAttempt (c, result->ok);
      return;
    }
  // The first statement follows BEGIN at once.
  if (began)
    pause_us = 0;
  c->paused_us += pause_us;
  w->At (c->vm, pause_us, [c] { SendNext (c, false); });
}

void
FleetWorld::Call (const FleetCall &call)
{
  // Longer than all attempts of a call take.
  const int64_t collect_after_us = 3000000 * (1 + o.retries);
  auto c = std::make_unique<FleetCaller> ();
  auto tag = std::make_unique<FleetTag> ();
  FleetCaller *raw = c.get ();
  size_t bucket = (size_t)(now_us / kBucketUs);

  if (sent.size () <= bucket)
    {
      sent.resize (bucket + 1);
      in_time.resize (bucket + 1);
    }
  counts.resize ((size_t)o.services);
  sent[bucket]++;
  counts[(size_t)call.service].sent++;
  kinds[call.kind].sent++;
  raw->call = call;
  raw->database = call_kinds[call.kind].prefix + std::to_string (call.service);
  raw->sent_us = now_us;
  raw->retries_left = o.retries;
  raw->tag = tag.get ();
  tag->caller = raw;
  tag->relay = nullptr;
  callers.push_back (std::move (c));
  tags.push_back (std::move (tag));
  StartAttempt (this, raw);
  At (collect_after_us, [this, raw, bucket] {
    int64_t took_us = raw->ended_us - raw->sent_us - raw->paused_us;
    bool early = took_us <= call_kinds[raw->call.kind].objective_us;

    in_time[bucket] += raw->ok && early ? 1 : 0;
    for (FleetCounts *t :
         { &counts[(size_t)raw->call.service], &kinds[raw->call.kind] })
      {
        t->in_time += raw->ok && early ? 1 : 0;
        t->late += raw->ok && !early ? 1 : 0;
        t->refused += raw->ok ? 0 : 1;
      }
  });
}

double
FleetWorld::MeanWorkUs () const
{
  const int64_t work_us[] = { o.fresh_us, o.bounded_us, o.own_us };
  double sum = 0;

  for (int k = 0; k < FLEET_KINDS; k++)
    sum += call_kinds[k].share * (double)work_us[k];
  return sum * (1 + o.transactions * (o.statements - 1))
         + o.transactions * (double)o.commit_us;
}

void
FleetWorld::Load (double rate, int64_t for_us)
{
  std::exponential_distribution<> gap (rate / 1e6);
  std::uniform_real_distribution<> part (0, 1);

  for (double t = gap (random); t < (double)for_us; t += gap (random))
    {
      FleetCall call = {};
      double which = part (random);

      call.service = (int)(random () % (uint64_t)o.services);
      call.kind = which < call_kinds[FLEET_FRESH].share ? FLEET_FRESH
                  : which < call_kinds[FLEET_FRESH].share
                                + call_kinds[FLEET_BOUNDED].share
                      ? FLEET_BOUNDED
                      : FLEET_OWN;
      call.writes = part (random) < call_kinds[call.kind].writes;
      call.transaction = o.transactions > 0 && part (random) < o.transactions;
      At ((int64_t)t, [this, call] { Call (call); });
    }
}

int64_t
FleetWorld::ServedFrom (int64_t from_us, double share) const
{
  const size_t window = 10;

  for (size_t b = (size_t)(from_us / kBucketUs); b + window <= sent.size ();
       b++)
    {
      uint64_t n = 0, served = 0;

      for (size_t k = b; k < b + window; k++)
        {
          n += sent[k];
          served += in_time[k];
        }
      if ((double)served >= share * (double)n)
        return std::max ((int64_t)b * kBucketUs, from_us);
    }
  return -1;
}
