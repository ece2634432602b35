/* mm_shedding: decides on waiting jobs that are expected to be late.  */
#include "mm_shedding.h"

#include "config.h"

/**
 * mm_shedding_decide() - decide on a job of which no task may have started.
 * @j: the job.
 *
 * A job that is late is worth less to its caller than one that is on time, and
 * needs the same capacity.  A job that is expected to be late is therefore
 * rejected while tasks wait for capacity: each start of one of its tasks would
 * make another job late.  While capacity is free it is served late, behind
 * jobs that can be on time.
 *
 * Return: the decision.
 */
mm_shedding_verdict
mm_shedding_decide (const mm_shedding_job *j)
{
  /* Subtracted rather than added: where no capacity is expected, the wait may
     be the largest value.  */
  mm_time_ms slack_ms = j->on_time_start_ms - j->now_ms;
  if (j->expected_wait_ms > j->latest_start_ms - j->now_ms)
    return MM_SHEDDING_REJECT;
  if (slack_ms < 0 && j->expected_wait_ms > 0)
    return MM_SHEDDING_REJECT;
  if (j->expected_wait_ms >= MM_SHEDDING_WAIT_MS
      && j->expected_wait_ms > slack_ms)
    return MM_SHEDDING_REJECT;
  if (slack_ms >= 0)
    return MM_SHEDDING_KEEP;
  return MM_SHEDDING_YIELD;
}

const char *
mm_shedding_name (mm_shedding_verdict v)
{
  static const char *const names[] = { [MM_SHEDDING_KEEP] = "keep",
                                       [MM_SHEDDING_YIELD] = "yield",
                                       [MM_SHEDDING_REJECT] = "reject" };
  return names[v];
}
