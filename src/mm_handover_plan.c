/* mm_handover_plan: decides when upstreams that are being handed over are
   released.  */
#include "mm_handover_plan.h"

#include "config.h"

const char *
mm_handover_step_name (mm_handover_step step)
{
  static const char *const names[]
      = { "wait_runs", "wait_links", "wait_starts", "release" };
  return names[step];
}

/* Returns whether the next owner can adopt all runs, as far as that depends
   on the runs and on the store.  Runs of kept jobs are adopted only through a
   search by their homes.  A run that is in doubt or foreign has no confirmed
   state that could be transferred.  The next owner cannot list the runs of an
   upstream that does not answer.  A slow store would let the leases expire
   between the release and the first hold of the next owner.  */
static bool
is_transferable (const mm_handover_facts *f)
{
  return f->transfer_runs && f->kept == 0 && f->in_doubt == 0
         && f->foreign == 0 && f->unresponsive == 0 && f->store_ms >= 0
         && f->store_ms <= MM_HANDOVER_STORE_MS;
}

/**
 * mm_handover_plan() - decide what a handover does next.
 * @f: the present state; the decision depends on nothing else, so that a
 *     condition that is met later ends the wait for the runs.
 *
 * Return: the next step.
 */
mm_handover_step
mm_handover_plan (const mm_handover_facts *f)
{
  if (f->busy == 0)
    return MM_HANDOVER_RELEASE;
  if (!is_transferable (f))
    return MM_HANDOVER_WAIT_RUNS;
  if (f->unlinked || f->candidates == 0)
    return f->waited_ms < MM_HANDOVER_LINK_MS ? MM_HANDOVER_WAIT_LINKS
                                              : MM_HANDOVER_WAIT_RUNS;
  if (f->store_busy)
    return MM_HANDOVER_WAIT_LINKS;
  return f->open_starts ? MM_HANDOVER_WAIT_STARTS : MM_HANDOVER_RELEASE;
}
