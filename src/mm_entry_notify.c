/* mm_entry_notify: notifications between the instances of a data centre,
   sent over their peer links without answers.  One kind reports how many
   tasks each team has on the sender, which count against the team's quota
   (mm_quota.c).  The other kind names an upstream that the sender ejected
   because tasks failed there (mm_pool.c).  A notification that is lost makes
   quotas and placement a little less accurate, but violates no guarantee.  */
#include "config.h"
#include "mm_entry_priv.h"

#include <string.h>

/* Sends a notification to all live peers.  */
static void
notify_all (mm_entry *e, mm_notification_kind kind, const uint8_t *payload,
            size_t len)
{
  GHashTableIter it;
  gpointer name, addr;
  g_hash_table_iter_init (&it, e->peer_addrs);
  while (g_hash_table_iter_next (&it, &name, &addr))
    {
      mm_peer_notify (e->peer_links, addr, kind, e->settings.name, payload,
                      len);
      mm_counters_add (e->counters, "news_sent", 1);
      mm_counters_add (e->counters, "news_bytes", (int64_t)len);
    }
}

/**
 * mm_entry_notify_ejected() - notify the peers that an upstream was ejected.
 * @e: the entry instance.
 * @upstream: its name.
 */
void
mm_entry_notify_ejected (mm_entry *e, const char *upstream)
{
  notify_all (e, MM_NOTIFICATION_EJECTED, (const uint8_t *)upstream,
              strlen (upstream));
}

/* Returns a team's quota of tasks in the data centre.  */
static int64_t
quota_of (const char *team, void *ctx)
{
  mm_entry *e = ctx;
  return mm_cfg_settings_team_quota (mm_cfg_current (e->cfg), team);
}

/* Reports the tasks of the teams to the peers, unless mm_quota_report() finds
   that no report is needed.  */
static void
quota_report_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  GByteArray *report = g_byte_array_new ();
  if (mm_quota_report (e->quota, g_hash_table_size (e->peer_addrs) + 1,
                       quota_of, e, report))
    notify_all (e, MM_NOTIFICATION_USAGE, report->data, report->len);
  g_byte_array_free (report, TRUE);
}

/* Applies a peer's report of the tasks of its teams.  */
static void
apply_usage (mm_entry *e, const char *peer, const uint8_t *data, size_t len)
{
  GError *err = NULL;
  if (!mm_quota_apply_report (e->quota, peer, data, len, mm_clock_now_ms (),
                              &err))
    {
      g_warning ("%s from %s", err->message, peer);
      g_error_free (err);
    }
}

/* Puts an upstream that a peer ejected on trial: until a task is done there,
   this instance sends it one task at a time.  */
static void
apply_ejected (mm_entry *e, const uint8_t *data, size_t len)
{
  char *name = g_strndup ((const char *)data, len);
  int i = mm_pool_find (e->pool, name);
  if (i >= 0)
    mm_pool_put_on_trial (e->pool, i);
  g_free (name);
}

/* Handles a notification from a peer.  Unknown kinds are ignored.  */
static void
on_notification (mm_notification_kind kind, const char *peer,
                 const uint8_t *payload, size_t len, void *ctx)
{
  if (kind == MM_NOTIFICATION_USAGE)
    apply_usage (ctx, peer, payload, len);
  else if (kind == MM_NOTIFICATION_EJECTED)
    apply_ejected (ctx, payload, len);
}

/**
 * mm_entry_notify_start() - start sending and receiving notifications.
 * @e: the entry instance.
 */
void
mm_entry_notify_start (mm_entry *e)
{
  mm_peer_set_notification_cb (e->peer_links, on_notification, e);
  ev_timer_init (&e->quota_report, quota_report_cb,
                 MM_QUOTA_REPORT_MS / 1000.0, MM_QUOTA_REPORT_MS / 1000.0);
  e->quota_report.data = e;
  ev_timer_start (e->loop, &e->quota_report);
}

void
mm_entry_notify_stop (mm_entry *e)
{
  ev_timer_stop (e->loop, &e->quota_report);
}
