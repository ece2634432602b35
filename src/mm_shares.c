/* mm_shares: membership in the data centre's group.

   A partition is handed over in two steps: the store no longer lists it
   to us, and gives it to another member once we join with the generation
   that said so.  In between we start nothing there and let what runs
   end.  The generation at which a partition came to us is our fencing
   token at its upstreams: it is higher than that of any earlier owner.

   While the store is out of reach we keep what we have: if it gave our
   partitions away meanwhile, the new owner's higher token stops us at the
   upstreams.  */
#include "mm_shares.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  uint64_t fence; /* 0: not ours */
  bool leaving;
} share;

struct mm_shares
{
  int refs;
  bool closed;
  mm_store_port port;
  char *group;
  char *member;
  share *shares;
  uint32_t n;
  uint64_t listed;    /* generation of the last answer */
  uint64_t confirmed; /* the one we join with */
  mm_time_ms leaving_since_ms;
  bool in_flight;
  bool in_touch;
  mm_time_ms sent_ms; /* the call in flight */
  mm_time_ms sure_ms; /* sending of the last one that was answered well */
  bool quitting;
  bool left;
  mm_time_ms due_ms;
  uint64_t changes; /* of any share */
  mm_time_ms created_ms;
  uint64_t sent_confirmed; /* in the call in flight */
  bool releasing;          /* the next join lets go of partitions */
  mm_shares_events ev;
};

static void
shares_unref (mm_shares *s)
{
  if (--s->refs > 0)
    return;
  g_free (s->group);
  g_free (s->member);
  g_free (s->shares);
  g_free (s);
}

mm_shares *
mm_shares_create (const mm_store_port *port, const char *group,
                  const char *member, uint32_t parts)
{
  mm_shares *s = g_new0 (mm_shares, 1);
  s->refs = 1;
  s->port = *port;
  s->group = g_strdup (group);
  s->member = g_strdup (member);
  s->n = parts;
  s->shares = g_new0 (share, parts);
  s->created_ms = mm_clock_now_ms ();
  return s;
}

void
mm_shares_destroy (mm_shares *s)
{
  if (!s)
    return;
  s->closed = true;
  shares_unref (s);
}

static bool
is_listed (const mm_join_result *res, uint32_t part)
{
  for (size_t i = 0; i < res->n_parts; i++)
    if (res->parts[i] == part)
      return true;
  return false;
}

static void
take_list (mm_shares *s, const mm_join_result *res)
{
  uint32_t ours = 0, leaving = 0;
  s->changes++;
  for (uint32_t i = 0; i < s->n; i++)
    {
      share *p = &s->shares[i];
      bool listed = is_listed (res, i);
      if (listed && !p->fence)
        p->fence = res->generation;
      p->leaving = p->fence && !listed;
      ours += listed;
      leaving += p->leaving;
    }
  mm_metrics_count (MM_CT_OWNERSHIP_CHANGES);
  mm_log_event (MM_EV_GROUP_CHANGED, MM_TEXT (s->group),
                MM_INT (res->generation), MM_INT (ours), MM_INT (leaving));
  if (!leaving)
    s->confirmed = res->generation;
  else if (!s->leaving_since_ms)
    s->leaving_since_ms = mm_clock_now_ms ();
  if (s->ev.changed)
    s->ev.changed (s->ev.ctx);
}

static void
tell_handed (const mm_shares *s)
{
  if (s->ev.handed && !s->closed)
    s->ev.handed (s->ev.ctx, s->group);
}

static void
on_joined (const mm_join_result *res, void *ctx)
{
  mm_shares *s = ctx;
  s->in_flight = false;
  mm_metrics_count (res->ok ? MM_CT_JOIN_OK : MM_CT_JOIN_FAILED);
  mm_metrics_time (MM_HG_JOIN_CALL, mm_clock_now_ms () - s->sent_ms);
  if (!s->closed)
    mm_store_note_touch (&s->in_touch, res->ok, s->group, res->why);
  if (res->ok)
    s->sure_ms = s->sent_ms;
  if (res->ok && s->releasing && s->sent_confirmed == s->confirmed)
    {
      s->releasing = false;
      tell_handed (s);
    }
  if (!s->closed && res->ok && !s->quitting && res->generation != s->listed)
    {
      s->listed = res->generation;
      take_list (s, res);
    }
  shares_unref (s);
}

static void
on_left (const mm_join_result *res, void *ctx)
{
  mm_shares *s = ctx;
  s->in_flight = false;
  s->left = s->left || res->ok;
  if (res->ok)
    tell_handed (s);
  shares_unref (s);
}

/* A newcomer without a partition asks often: those of an instance that is
   known to be dead come within one call of its being taken out, and until
   then nobody can start anything on their upstreams.  */
static mm_time_ms
beat_ms (const mm_shares *s, mm_time_ms now)
{
  bool eager
      = !mm_shares_any (s) && now - s->created_ms < MM_GROUP_EAGER_FOR_MS;
  return eager ? MM_GROUP_EAGER_MS : MM_GROUP_BEAT_MS;
}

void
mm_shares_tick (mm_shares *s)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (s->leaving_since_ms && now - s->leaving_since_ms > MM_HANDOVER_MS)
    mm_shares_release (s);
  if (s->in_flight || s->left || now < s->due_ms)
    return;
  s->in_flight = true;
  s->sent_ms = now;
  s->sent_confirmed = s->confirmed;
  s->due_ms = now + beat_ms (s, now);
  s->refs++;
  if (s->quitting)
    s->port.leave (s->port.ctx, s->group, s->member, MM_STORE_TIMEOUT_MS,
                   on_left, s);
  else
    s->port.join (s->port.ctx, s->group, s->member, s->confirmed,
                  MM_GROUP_TTL_MS, MM_STORE_TIMEOUT_MS, on_joined, s);
}

void
mm_shares_leave (mm_shares *s)
{
  if (s->quitting)
    return;
  s->quitting = true;
  s->changes++;
  s->due_ms = 0;
  memset (s->shares, 0, s->n * sizeof *s->shares);
}

void
mm_shares_on (mm_shares *s, const mm_shares_events *ev)
{
  s->ev = *ev;
}

void
mm_shares_hurry (mm_shares *s)
{
  s->due_ms = 0;
}

bool
mm_shares_left (const mm_shares *s)
{
  return s->left;
}

static share *
share_of (const mm_shares *s, const char *upstream)
{
  return &s->shares[XXH3_64bits (upstream, strlen (upstream)) % s->n];
}

static mm_share_state
state_of (const share *p, uint64_t *fence)
{
  *fence = p->fence;
  if (!p->fence)
    return MM_SHARE_OTHERS;
  return p->leaving ? MM_SHARE_LEAVING : MM_SHARE_OURS;
}

mm_share_state
mm_shares_of (const mm_shares *s, const char *upstream, uint64_t *fence)
{
  return state_of (share_of (s, upstream), fence);
}

mm_share_state
mm_shares_of_part (const mm_shares *s, uint32_t part, uint64_t *fence)
{
  return state_of (&s->shares[part], fence);
}

mm_time_ms
mm_shares_sure_ms (const mm_shares *s)
{
  return s->sure_ms;
}

static void
retake (mm_shares *s, share *p)
{
  if (p->fence && !p->leaving && p->fence < s->listed)
    {
      p->fence = s->listed;
      s->changes++;
    }
}

void
mm_shares_retake (mm_shares *s, const char *upstream)
{
  retake (s, share_of (s, upstream));
}

void
mm_shares_retake_part (mm_shares *s, uint32_t part)
{
  retake (s, &s->shares[part]);
}

void
mm_shares_release (mm_shares *s)
{
  for (uint32_t i = 0; i < s->n; i++)
    if (s->shares[i].leaving)
      s->shares[i] = (share){ 0 };
  s->leaving_since_ms = 0;
  s->changes++;
  s->confirmed = s->listed;
  s->releasing = true;
  s->due_ms = 0;
}

bool
mm_shares_releasing (const mm_shares *s)
{
  return s->leaving_since_ms != 0;
}

bool
mm_shares_any (const mm_shares *s)
{
  for (uint32_t i = 0; i < s->n; i++)
    if (s->shares[i].fence)
      return true;
  return false;
}

uint64_t
mm_shares_changes (const mm_shares *s)
{
  return s->changes;
}

uint64_t
mm_shares_generation (const mm_shares *s)
{
  return s->listed;
}
