/* mm_entry_admit: whether a job fits, decided whole and at once.  */
#include "config.h"
#include "mm_entry_priv.h"

static int64_t
quota_of (const char *team, void *ctx)
{
  mm_entry *e = ctx;
  return mm_knobs_team_quota (mm_cfg_knobs (e->cfg), team);
}

static void
report_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  GByteArray *report = g_byte_array_new ();
  if (mm_quota_report (e->quota, g_hash_table_size (e->peer_addrs) + 1,
                       quota_of, e, report))
    {
      GHashTableIter it;
      gpointer name, addr;
      g_hash_table_iter_init (&it, e->peer_addrs);
      while (g_hash_table_iter_next (&it, &name, &addr))
        {
          mm_peer_tell_usage (e->peer, addr, e->settings.name, report->data,
                              report->len);
          mm_counters_add (e->counters, "usage_reports", 1);
          mm_counters_add (e->counters, "usage_report_bytes", report->len);
        }
    }
  g_byte_array_free (report, TRUE);
}

static void
on_usage (const char *peer, const uint8_t *report, size_t len, void *ctx)
{
  mm_entry *e = ctx;
  GError *err = NULL;
  if (!mm_quota_take_report (e->quota, peer, report, len, mm_clock_now_ms (),
                             &err))
    {
      g_warning ("%s from %s", err->message, peer);
      g_error_free (err);
    }
}

/**
 * mm_entry_quota_start() - tell peers of our teams' usage, and listen.
 * @e: the entry instance.
 */
void
mm_entry_quota_start (mm_entry *e)
{
  mm_peer_set_usage (e->peer, on_usage, e);
  ev_timer_init (&e->quota_report, report_cb, MM_QUOTA_REPORT_MS / 1000.0,
                 MM_QUOTA_REPORT_MS / 1000.0);
  e->quota_report.data = e;
  ev_timer_start (e->loop, &e->quota_report);
}

void
mm_entry_quota_stop (mm_entry *e)
{
  ev_timer_stop (e->loop, &e->quota_report);
}

mm_time_ms
mm_entry_first_deadline_ms (const mm_job *job)
{
  mm_time_ms d = job->tasks[0].deadline_ms;
  for (uint32_t i = 1; i < job->n_tasks; i++)
    d = MIN (d, job->tasks[i].deadline_ms);
  return d;
}

/* How long until the last task of a new job could start, if every live
   slot works through the queue at the observed run time.  */
static mm_time_ms
expected_wait_ms (mm_entry *e, uint32_t n_tasks)
{
  uint32_t slots = mm_pool_live_slots (e->pool, mm_clock_now_ms ());
  if (!slots)
    return 0;
  double ahead = (double)e->tasks_queued + n_tasks;
  return (mm_time_ms)(ahead / slots * e->run_ewma_ms);
}

static bool
refusal (mm_refusal *r, unsigned status, int code, const char *why,
         uint32_t retry_after_s)
{
  *r = (mm_refusal){ status, code, why, retry_after_s };
  return false;
}

/**
 * mm_entry_admit() - does a job fit?
 * @e: the entry instance.
 * @job: the job, new to us.
 * @r: filled in when it does not, with a time to come back.
 */
bool
mm_entry_admit (mm_entry *e, const mm_job *job, mm_refusal *r)
{
  const mm_knobs *k = mm_cfg_knobs (e->cfg);
  uint32_t after = (uint32_t)k->retry_after_s;
  int64_t team = mm_quota_used (e->quota, job->team, mm_clock_now_ms ());
  mm_time_ms wait = expected_wait_ms (e, job->n_tasks);
  if (e->tasks_queued + job->n_tasks > (uint64_t)k->max_queued_tasks)
    return refusal (r, 503, MM_ERROR_OVERLOADED, "instance is full", after);
  if (team + job->n_tasks > mm_knobs_team_quota (k, job->team))
    return refusal (r, 429, MM_ERROR_OVERLOADED, "team over its quota", after);
  if (mm_pool_size (e->pool) == 0)
    return refusal (r, 503, MM_ERROR_UPSTREAM, "no upstream known", after);
  /* Guard against answering only at the deadline: a job that the queue
     ahead of it would push past its first deadline is refused now, with
     the expected wait as its time to come back.  */
  if (wait > mm_entry_first_deadline_ms (job))
    return refusal (r, 503, MM_ERROR_OVERLOADED,
                    "the queue would make it miss its deadline",
                    (uint32_t)MAX ((wait + 999) / 1000, (int64_t)after));
  return true;
}
