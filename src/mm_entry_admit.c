/* mm_entry_admit: admits or refuses a complete job before any of its tasks
   is started.  */
#include "mm_entry_priv.h"

/**
 * mm_entry_first_deadline_ms() - shortest deadline of a job's tasks.
 * @job: the job.
 *
 * Return: milliseconds from the submission.
 */
mm_time_ms
mm_entry_first_deadline_ms (const mm_job *job)
{
  mm_time_ms d = job->tasks[0].deadline_ms;
  for (uint32_t i = 1; i < job->n_tasks; i++)
    d = MIN (d, job->tasks[i].deadline_ms);
  return d;
}

/* Estimates how long the last task of a new job waits for its start, if all
   usable slots work through the queue at the average run time.  Returns 0 when
   no upstream is usable now, because the wait is not known then.  */
static mm_time_ms
expected_wait_ms (mm_entry *e, uint32_t n_tasks)
{
  uint32_t slots = mm_pool_live_slots (e->pool, mm_clock_now_ms ());
  if (!slots)
    return 0;
  double ahead = (double)e->tasks_queued + n_tasks;
  return (mm_time_ms)(ahead / slots * e->run_ewma_ms);
}

/* Fills in a refusal.  Returns false, the result of mm_entry_admit().  */
static bool
set_refusal (mm_refusal *r, unsigned status, int code, const char *why,
             uint32_t retry_after_s)
{
  *r = (mm_refusal){ status, code, why, retry_after_s };
  return false;
}

/**
 * mm_entry_admit() - decide whether a job is admitted.
 * @e: the entry instance.
 * @job: a job that this instance does not have yet.
 * @r: set when the job is refused; retry_after_s says when to submit again.
 *
 * Return: true when the job is admitted.
 */
bool
mm_entry_admit (mm_entry *e, const mm_job *job, mm_refusal *r)
{
  const mm_cfg_settings *k = mm_cfg_current (e->cfg);
  uint32_t retry_s = (uint32_t)k->retry_after_s;
  int64_t team_tasks = mm_quota_used (e->quota, job->team, mm_clock_now_ms ());
  mm_time_ms expected_ms = expected_wait_ms (e, job->n_tasks);
  if (e->tasks_queued + job->n_tasks > (uint64_t)k->max_queued_tasks)
    return set_refusal (r, 503, MM_ERROR_OVERLOADED, "instance is full",
                        retry_s);
  if (team_tasks + job->n_tasks > mm_cfg_settings_team_quota (k, job->team))
    return set_refusal (r, 429, MM_ERROR_OVERLOADED, "team over its quota",
                        retry_s);
  if (mm_pool_size (e->pool) == 0)
    return set_refusal (r, 503, MM_ERROR_UPSTREAM, "no upstream known",
                        retry_s);
  /* A job whose expected wait exceeds its first deadline is refused now
     instead of failing at the deadline.  Its Retry-After is the expected
     wait in seconds, rounded up, but at least the configured one.  */
  if (expected_ms > mm_entry_first_deadline_ms (job))
    return set_refusal (
        r, 503, MM_ERROR_OVERLOADED,
        "the queue would make it miss its deadline",
        (uint32_t)MAX ((expected_ms + 999) / 1000, (int64_t)retry_s));
  return true;
}
