// What tests of promotions do beside the proxy: a caller elsewhere writes, and
// the primary's process ends.
#ifndef CB_OTHERWRITER_H
#define CB_OTHERWRITER_H

#include "poolworld.h"

// A caller of another proxy, which writes all the time while it reaches the
// primary.  Its commits count as acknowledged if the primary says so.
class OtherWriter
{
public:
  OtherWriter (PoolWorld *w, int64_t every_us) : w_ (w), every_us_ (every_us)
  {
    w->At (every_us, [this] { Write (); });
  }

private:
  void
  Write ()
  {
    struct dbm_instance *primary = dbm_primary (w_->group);
    std::string id = "other" + std::to_string (n_++);
    struct dbm_sender sender = {};
    struct stm s = {};
    struct stm_result result;

    w_->At (every_us_, [this] { Write (); });
    if (!primary || w_->refused[primary->id])
      return;
    sender.first_byte_us = w_->now_us;
    sender.max_age_us = -1;
    w_->senders[id] = sender;
    w_->sender_names[id] = "other";
    s.kind = STM_WRITE;
    s.id = id.c_str ();
    s.args = "b 1";
    struct dbm_conn *c = dbm_connect (primary);
    dbm_run (c, LP_NONE, &s, &result, w_->now_us);
    if (result.ok && !c->unacknowledged)
      dbm_report_committed (w_->group, id.c_str (), w_->now_us);
    dbm_disconnect (c);
  }

  PoolWorld *w_;
  int64_t every_us_;
  int n_ = 0;
};

// The primary's process ends.
inline void
Crash (PoolWorld *w, const char *id)
{
  w->refused[id] = true;
  for (auto &u : w->ups)
    if (u->open && id == std::string (u->instance->id))
      {
        u->open = false;
        plr_link_lost (w->pooler, u->link, true, w->now_us);
      }
}

#endif
