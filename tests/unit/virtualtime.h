// Virtual time: events run in the order of their time; those of the same time
// run in the order in which they were scheduled.
#ifndef CB_VIRTUALTIME_H
#define CB_VIRTUALTIME_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>

struct VirtualTime
{
  int64_t now_us = 1000000;
  uint64_t serial = 0;

  struct Event
  {
    int64_t at_us;
    uint64_t order;
    std::function<void ()> run;
    bool
    operator<(const Event &o) const
    {
      return at_us != o.at_us ? at_us > o.at_us : order > o.order;
    }
  };
  std::priority_queue<Event> events;

  // Schedules FN to run DELAY_US from now.
  void
  At (int64_t delay_us, std::function<void ()> fn)
  {
    events.push ({ now_us + delay_us, serial++, std::move (fn) });
  }
  // Runs the events of the next FOR_US, in order.
  void
  Run (int64_t for_us)
  {
    int64_t end_us = now_us + for_us;

    while (!events.empty () && events.top ().at_us <= end_us)
      {
        Event e = events.top ();

        events.pop ();
        now_us = std::max (now_us, e.at_us);
        e.run ();
      }
    now_us = end_us;
  }
};

#endif
