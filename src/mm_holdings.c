/* mm_holdings: own shares, and standing in for other data centres.

   Stands in only where the last instance's links were closed, not where
   they fell silent: an instance that is cut off goes on serving its
   upstreams, and a higher token would stop what runs there once the cut
   heals.  Of all instances in touch, MM_STANDBY_COUNT stand in.  */
#include "mm_holdings.h"

#include "config.h"
#include "mm_event.h"
#include "mm_members.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  char *datacentre;
  char *group;
  bool own;
  mm_shares *shares; /* NULL: no part in it */
  bool retiring;
  mm_time_ms retiring_ms;
  mm_time_ms orphaned_ms; /* since when it has no instance, 0: it has */
} holding;

struct mm_holdings
{
  mm_store_port port;
  mm_mesh *mesh;
  char *member;
  uint32_t parts;
  mm_holdings_events ev;
  holding *all;
  size_t n;
  uint64_t changes; /* besides those of the shares held now */
  bool leaving;
  mm_time_ms looked_ms;  /* when the other data centres were last looked at */
  mm_time_ms alone_ms;   /* leaving: then others are waited for, if any */
  mm_time_ms give_up_ms; /* leaving: then all is let go of */
};

static void
on_handed (void *ctx, const char *group)
{
  mm_mesh_tell_handed (((mm_holdings *)ctx)->mesh, group);
}

static void
on_changed (void *ctx)
{
  mm_holdings *h = ctx;
  h->ev.changed (h->ev.ctx);
}

static void
join (mm_holdings *h, holding *d)
{
  d->shares = mm_shares_create (&h->port, d->group, h->member, h->parts);
  mm_shares_events ev
      = { .handed = on_handed, .changed = on_changed, .ctx = h };
  mm_shares_on (d->shares, &ev);
  d->retiring = false;
}

mm_holdings *
mm_holdings_create (const mm_store_port *port, mm_mesh *mesh,
                    char *const *datacentres, const char *own,
                    const char *member, uint32_t parts,
                    const mm_holdings_events *ev)
{
  mm_holdings *h = g_new0 (mm_holdings, 1);
  h->port = *port;
  h->mesh = mesh;
  h->member = g_strdup (member);
  h->parts = parts;
  h->ev = *ev;
  h->n = g_strv_length ((char **)datacentres);
  h->all = g_new0 (holding, h->n + 1);
  for (size_t i = 0; i < h->n; i++)
    {
      holding *d = &h->all[i];
      d->datacentre = g_strdup (datacentres[i]);
      d->group = mm_members_group (datacentres[i]);
      d->own = strcmp (datacentres[i], own) == 0;
      if (d->own)
        join (h, d);
    }
  return h;
}

void
mm_holdings_destroy (mm_holdings *h)
{
  if (!h)
    return;
  for (size_t i = 0; i < h->n; i++)
    {
      mm_shares_destroy (h->all[i].shares);
      g_free (h->all[i].datacentre);
      g_free (h->all[i].group);
    }
  g_free (h->all);
  g_free (h->member);
  g_free (h);
}

static void
retire (mm_holdings *h, holding *d)
{
  if (!d->shares || d->retiring)
    return;
  h->changes++;
  d->retiring = true;
  d->retiring_ms = mm_clock_now_ms ();
}

static uint64_t
rank_of (const char *instance, const char *datacentre)
{
  return XXH3_64bits_withSeed (instance, strlen (instance),
                               XXH3_64bits (datacentre, strlen (datacentre)));
}

/* Are we among the instances that stand in for this data centre?  */
static bool
chosen (const mm_holdings *h, const holding *d)
{
  mm_mesh_place peers[MM_FLEET_MAX];
  size_t n = mm_mesh_places (h->mesh, "", peers, MM_FLEET_MAX);
  uint64_t own = rank_of (h->member, d->datacentre);
  uint32_t before = 0;
  for (size_t i = 0; i < n; i++)
    before += rank_of (peers[i].name, d->datacentre) > own;
  return before < MM_STANDBY_COUNT;
}

static void
consider_standby (mm_holdings *h, holding *d, mm_time_ms now)
{
  mm_mesh_presence p = mm_mesh_presence_in (h->mesh, d->datacentre);
  /* Only some of its instances are linked to: with these lost, the others
     are tried first.  Those that shut down serve on until they can hand
     over: with all of them leaving, it is we who take over.  */
  bool lost = p.connected == 0 && p.untried == 0 && p.closed_ms
              && now - p.closed_ms < MM_STANDBY_FORGET_MS;
  bool orphan = lost || (p.connected && !p.staying);
  if (!orphan)
    {
      d->orphaned_ms = 0;
      if (p.staying)
        retire (h, d);
      return;
    }
  if (!d->orphaned_ms)
    d->orphaned_ms = now;
  if (!d->shares && now - d->orphaned_ms >= MM_STANDBY_AFTER_MS
      && chosen (h, d))
    {
      mm_log_event (MM_EV_STANDBY, MM_TEXT (d->datacentre),
                    MM_INT (lost ? now - p.closed_ms : 0));
      join (h, d);
    }
}

static void
tick_shares (mm_holdings *h, holding *d, mm_time_ms now)
{
  mm_shares_tick (d->shares);
  bool releasing = mm_shares_releasing (d->shares);
  bool quiet
      = (releasing || d->retiring) && h->ev.quiet (h->ev.ctx, d->datacentre);
  if (releasing && quiet)
    mm_shares_release (d->shares);
  if (d->retiring && (quiet || now - d->retiring_ms > MM_HANDOVER_MS))
    mm_shares_leave (d->shares);
  if (!mm_shares_left (d->shares) || d->own)
    return;
  h->changes += 1 + mm_shares_changes (d->shares);
  mm_shares_destroy (d->shares);
  d->shares = NULL;
}

/* Leaving: is there somebody who takes over?  Without, we serve to our end:
   in a restart of all instances one after the other nobody would own any
   upstream for seconds if each let go of its own at once.  */
static void
consider_leaving (mm_holdings *h, holding *d, mm_time_ms now)
{
  if (!d->shares || d->retiring)
    return;
  mm_mesh_presence p = mm_mesh_presence_in (h->mesh, d->datacentre);
  bool alone = mm_mesh_connected (h->mesh) == 0 && now >= h->alone_ms;
  if (p.staying || alone || now >= h->give_up_ms || !MM_WITH_SERVE_ON)
    retire (h, d);
}

void
mm_holdings_tick (mm_holdings *h)
{
  mm_time_ms now = mm_clock_now_ms ();
  bool look = MM_WITH_STANDBY && now - h->looked_ms >= MM_STANDBY_LOOK_MS;
  if (look)
    h->looked_ms = now;
  for (size_t i = 0; i < h->n; i++)
    {
      holding *d = &h->all[i];
      if (h->leaving)
        consider_leaving (h, d, now);
      else if (!d->own && look)
        consider_standby (h, d, now);
      if (d->shares)
        tick_shares (h, d, now);
    }
}

static holding *
holding_of (const mm_holdings *h, const mm_upstream_info *u)
{
  for (size_t i = 0; i < h->n; i++)
    if (strcmp (h->all[i].datacentre, u->datacentre) == 0)
      return h->all[i].shares ? &h->all[i] : NULL;
  return NULL;
}

mm_share_state
mm_holdings_of (const mm_holdings *h, const mm_upstream_info *u,
                uint64_t *fence)
{
  *fence = 0;
  const holding *d = holding_of (h, u);
  if (!d)
    return MM_SHARE_OTHERS;
  mm_share_state s = mm_shares_of (d->shares, u->name, fence);
  return s == MM_SHARE_OURS && d->retiring ? MM_SHARE_LEAVING : s;
}

void
mm_holdings_retake (mm_holdings *h, const mm_upstream_info *u)
{
  holding *d = holding_of (h, u);
  if (d)
    mm_shares_retake (d->shares, u->name);
}

void
mm_holdings_leave (mm_holdings *h, mm_time_ms alone_ms, mm_time_ms give_up_ms)
{
  h->leaving = true;
  h->alone_ms = alone_ms;
  h->give_up_ms = give_up_ms;
}

void
mm_holdings_hurry (mm_holdings *h, const char *group)
{
  for (size_t i = 0; i < h->n; i++)
    if (h->all[i].shares && strcmp (h->all[i].group, group) == 0)
      mm_shares_hurry (h->all[i].shares);
}

bool
mm_holdings_left (const mm_holdings *h)
{
  for (size_t i = 0; i < h->n; i++)
    if (h->all[i].shares && !mm_shares_left (h->all[i].shares))
      return false;
  return true;
}

bool
mm_holdings_any (const mm_holdings *h)
{
  for (size_t i = 0; i < h->n; i++)
    if (h->all[i].shares && mm_shares_any (h->all[i].shares))
      return true;
  return false;
}

bool
mm_holdings_sure (const mm_holdings *h)
{
  mm_time_ms since = mm_clock_now_ms () - MM_GROUP_SURE_MS;
  for (size_t i = 0; i < h->n; i++)
    if (h->all[i].shares && mm_shares_sure_ms (h->all[i].shares) < since)
      return false;
  return true;
}

uint64_t
mm_holdings_changes (const mm_holdings *h)
{
  uint64_t sum = h->changes;
  for (size_t i = 0; i < h->n; i++)
    if (h->all[i].shares)
      sum += mm_shares_changes (h->all[i].shares);
  return sum;
}

uint64_t
mm_holdings_generation (const mm_holdings *h)
{
  uint64_t sum = 0;
  for (size_t i = 0; i < h->n; i++)
    if (h->all[i].shares)
      sum += mm_shares_generation (h->all[i].shares);
  return sum;
}
