/* Admission control of one instance.  */
#include "admit.h"

#include <string.h>

/* Slot time assumed for a kind before its first measurement.  */
#define SERVICE_INITIAL_US 1000
/* Weight of one measurement in the moving average: 1/8.  */
#define SERVICE_SHIFT 3

void
adm_init (struct adm *a, const struct adm_options *options)
{
  memset (a, 0, sizeof *a);
  a->options = *options;
}

static const struct adm_kind *
find_kind (const struct adm *a, const char *name)
{
  for (uint32_t i = 0; i < a->n_kinds; i++)
    if (strcmp (a->kinds[i].name, name) == 0)
      return &a->kinds[i];
  return NULL;
}

/* Index of the kind NAME, which is added if new.  Once the table is full,
   further kinds share its last entry.  */
static uint32_t
find_or_add_kind (struct adm *a, const char *name)
{
  const struct adm_kind *known = find_kind (a, name);
  struct adm_kind *k;

  if (known)
    return (uint32_t)(known - a->kinds);
  if (a->n_kinds == ADM_KINDS_MAX)
    return ADM_KINDS_MAX - 1;
  k = &a->kinds[a->n_kinds];
  g_strlcpy (k->name, name, sizeof k->name);
  k->service_us = SERVICE_INITIAL_US;
  return a->n_kinds++;
}

static int64_t
sum_queued_work_us (const struct adm *a)
{
  int64_t work = 0;

  for (uint32_t i = 0; i < a->n_kinds; i++)
    work += a->kinds[i].queued * a->kinds[i].service_us;
  return work;
}

static int32_t
count_active_kinds (const struct adm *a)
{
  int32_t n = 0;

  for (uint32_t i = 0; i < a->n_kinds; i++)
    n += a->kinds[i].queued > 0;
  return n;
}

int64_t
adm_estimate_us (const struct adm *a, const char *kind)
{
  const struct adm_kind *k = find_kind (a, kind);
  int64_t service = k ? k->service_us : SERVICE_INITIAL_US;
  int32_t ahead = k ? k->queued : 0;
  int64_t fair;
  int64_t all;

  if (a->running < a->options.slots && a->queued == 0)
    return service;
  /* In the worst case a request waits until its kind's fair share has served
     those ahead of it, and never for more than the whole queue.  */
  fair = (int64_t)(ahead + 1) * service * MAX (1, count_active_kinds (a));
  all = sum_queued_work_us (a) + service;
  return MIN (fair, all) / a->options.slots + service;
}

int64_t
adm_service_us (const struct adm *a, const struct adm_item *item)
{
  return a->kinds[item->kind].service_us;
}

/* Raises the charge of a newly active KIND to the least charge of the active
   ones, so that time it left unused earlier gives it no right to a burst.  */
static void
raise_to_least_charge (struct adm *a, struct adm_kind *kind)
{
  int64_t least = INT64_MAX;

  for (uint32_t i = 0; i < a->n_kinds; i++)
    if (a->kinds[i].queued > 0)
      least = MIN (least, a->kinds[i].charged_us);
  if (least != INT64_MAX)
    kind->charged_us = MAX (kind->charged_us, least);
}

enum rsn
adm_push (struct adm *a, struct adm_item *item, const char *kind,
          int64_t now_us)
{
  struct adm_item **at;
  struct adm_kind *k;
  int32_t kind_max = MAX (1, a->options.queue_max / 2);

  if (!a->options.unlimited)
    {
      if (a->queued >= a->options.queue_max)
        return RSN_QUEUE_FULL;
      if (now_us + adm_estimate_us (a, kind) > item->deadline_us)
        return RSN_DEADLINE_UNMEETABLE;
    }
  item->kind = find_or_add_kind (a, kind);
  k = &a->kinds[item->kind];
  if (!a->options.unlimited && k->queued >= kind_max)
    return RSN_KIND_QUEUE_FULL;
  if (k->queued == 0)
    raise_to_least_charge (a, k);
  for (at = &k->head; *at && (*at)->deadline_us <= item->deadline_us;
       at = &(*at)->next)
    ;
  item->next = *at;
  *at = item;
  k->queued++;
  a->queued++;
  return RSN_OK;
}

struct adm_item *
adm_pop (struct adm *a)
{
  struct adm_kind *best = NULL;
  struct adm_item *item;

  if (a->running >= a->options.slots && !a->options.unlimited)
    return NULL;
  for (uint32_t i = 0; i < a->n_kinds; i++)
    if (a->kinds[i].queued > 0
        && (!best || a->kinds[i].charged_us < best->charged_us))
      best = &a->kinds[i];
  if (!best)
    return NULL;
  item = best->head;
  best->head = item->next;
  item->next = NULL;
  best->queued--;
  /* Charged the average at once, so that the next pop already takes this item
     into account.  */
  best->charged_us += best->service_us;
  a->queued--;
  a->running++;
  return item;
}

bool
adm_remove (struct adm *a, struct adm_item *item)
{
  struct adm_kind *k = &a->kinds[item->kind];

  for (struct adm_item **at = &k->head; *at; at = &(*at)->next)
    if (*at == item)
      {
        *at = item->next;
        item->next = NULL;
        k->queued--;
        a->queued--;
        return true;
      }
  return false;
}

void
adm_finish (struct adm *a, const struct adm_item *item, int64_t service_us)
{
  struct adm_kind *k = &a->kinds[item->kind];

  a->running--;
  k->service_us += (service_us - k->service_us) / (1 << SERVICE_SHIFT);
  k->service_us = MAX (k->service_us, 1);
}
