/* mm_entry_platform: an entry instance's use of the platform's service.  It
   sends heartbeats to the member list, reads upstreams and peers from that
   list, which lags, and reads the config stream in log order.

   While the platform is down, each call fails and is retried on the next
   tick.  The instance keeps its last upstreams and its last configuration
   and goes on serving, so a disconnected data centre serves what it can.  */
#include "mm_entry_priv.h"

#include <cJSON.h>
#include <string.h>

/* Counts the heartbeat and records whether the platform was reached.  */
static void
heartbeat_answered (const mm_http_result *res, void *ctx)
{
  mm_entry *e = ctx;
  mm_entry_record_contact (e, res->status == 200);
  mm_counters_add (e->counters,
                   res->status == 200 ? "heartbeats_ok" : "heartbeats_failed",
                   1);
}

/**
 * mm_entry_heartbeat_now() - send a heartbeat to the member list.
 * @e: the entry instance.
 *
 * A heartbeat carries the addresses and the state of this instance (live or
 * leaving), the config offset in force, which operators and starting peers
 * read, and the times of its start and of the last outage that it saw.
 */
void
mm_entry_heartbeat_now (mm_entry *e)
{
  char *url = g_strdup_printf ("%s/v1/members/%s", e->settings.platform_url,
                               e->settings.name);
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "kind", "entry");
  char *addr = g_strdup_printf ("%s:%u", e->settings.listen_host,
                                mm_http_server_port (e->http_server));
  cJSON_AddStringToObject (o, "addr", addr);
  g_free (addr);
  addr = g_strdup_printf ("%s:%u", e->settings.listen_host,
                          mm_peer_port (e->peer_links));
  cJSON_AddStringToObject (o, "peer_addr", addr);
  g_free (addr);
  cJSON_AddStringToObject (o, "datacentre", e->settings.datacentre);
  cJSON_AddStringToObject (o, "site", e->settings.site);
  cJSON_AddStringToObject (o, "state", e->shutting_down ? "leaving" : "live");
  cJSON_AddNumberToObject (o, "config_offset", (double)mm_cfg_head (e->cfg));
  cJSON_AddNumberToObject (
      o, "outage_ms", (double)mm_contact_last_outage_wall_ms (e->contact));
  cJSON_AddNumberToObject (o, "started_ms", (double)e->started_wall_ms);
  char *body = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  mm_http_client_call (e->platform_client, "PUT", url, body, 1000,
                       heartbeat_answered, e);
  g_free (url);
  free (body);
}

static void
heartbeat_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry_heartbeat_now (w->data);
}

/* Adds or updates an upstream from its entry @m of the member list.  Upstreams
   of other data centres and incomplete entries are ignored.  */
static void
apply_upstream (mm_entry *e, const cJSON *m)
{
  const char *addr = cJSON_GetStringValue (cJSON_GetObjectItem (m, "addr"));
  const char *dc
      = cJSON_GetStringValue (cJSON_GetObjectItem (m, "datacentre"));
  const char *state = cJSON_GetStringValue (cJSON_GetObjectItem (m, "state"));
  const cJSON *slots = cJSON_GetObjectItem (m, "slots");
  const cJSON *seq = cJSON_GetObjectItem (m, "mode_seq");
  const cJSON *boot = cJSON_GetObjectItem (m, "boot_ms");
  if (!addr || !dc || !state || strcmp (dc, e->settings.datacentre) != 0)
    return;
  int i
      = mm_pool_add (e->pool, addr, addr,
                     cJSON_IsNumber (slots) ? (uint32_t)slots->valuedouble : 0,
                     cJSON_IsNumber (boot) ? (int64_t)boot->valuedouble : 0);
  mm_pool_set_state (e->pool, i,
                     g_str_equal (state, "live") ? MM_UPSTREAM_LIVE
                                                 : MM_UPSTREAM_LEAVING,
                     cJSON_IsNumber (seq) ? (int64_t)seq->valuedouble : 0);
}

/* Adds the peers of the previous list that are missing in the new one.  */
static void
add_missing_peers (mm_entry *e, GHashTable *old_addrs, GPtrArray *names)
{
  GHashTableIter it;
  gpointer name, addr;
  g_hash_table_iter_init (&it, old_addrs);
  while (g_hash_table_iter_next (&it, &name, &addr))
    if (!g_hash_table_contains (e->peer_addrs, name))
      {
        g_ptr_array_add (names, g_strdup (name));
        g_hash_table_insert (e->peer_addrs, g_strdup (name), g_strdup (addr));
      }
}

/* The peers as one member list shows them.  */
typedef struct
{
  GPtrArray *names; /* live instances of the data centre, this one included */
  int64_t config_max;        /* highest config offset in force, -1 none */
  int64_t oldest_started_ms; /* earliest start (wall clock), INT64_MAX none */
} peer_view;

/* Returns a number of a JSON object, or @fallback when it has none.  */
static int64_t
get_number (const cJSON *m, const char *key, int64_t fallback)
{
  const cJSON *n = cJSON_GetObjectItem (m, key);
  return cJSON_IsNumber (n) ? (int64_t)n->valuedouble : fallback;
}

/* Adds a live peer from its entry @m of the member list.  This instance's own
   entry is ignored.  All data centres read the same config stream, so config
   offsets count whatever the data centre.  */
static void
apply_peer (mm_entry *e, const cJSON *m, peer_view *view)
{
  const char *name = cJSON_GetStringValue (cJSON_GetObjectItem (m, "name"));
  const char *state = cJSON_GetStringValue (cJSON_GetObjectItem (m, "state"));
  const char *dc
      = cJSON_GetStringValue (cJSON_GetObjectItem (m, "datacentre"));
  const char *addr
      = cJSON_GetStringValue (cJSON_GetObjectItem (m, "peer_addr"));
  if (!name || !state || !g_str_equal (state, "live")
      || g_str_equal (name, e->settings.name))
    return;
  view->config_max
      = MAX (view->config_max, get_number (m, "config_offset", -1));
  if (!dc || !addr || !g_str_equal (dc, e->settings.datacentre))
    return;
  g_ptr_array_add (view->names, g_strdup (name));
  g_hash_table_insert (e->peer_addrs, g_strdup (name), g_strdup (addr));
  view->oldest_started_ms
      = MIN (view->oldest_started_ms, get_number (m, "started_ms", INT64_MAX));
  e->peer_outage_wall_ms
      = MAX (e->peer_outage_wall_ms, get_number (m, "outage_ms", 0));
}

/* Applies a complete new member list.  */
static void
apply_members (mm_entry *e, const cJSON *list)
{
  /* Right after an outage of the platform the list lacks live members that
     expired during the outage.  Until they have had time to return, a list
     only adds members, and the next poll reads it in full again.  */
  bool incomplete
      = mm_contact_list_incomplete (e->contact, mm_clock_now_ms ());
  e->members_version = incomplete ? -1 : get_number (list, "version", -1);
  GHashTable *old_addrs = e->peer_addrs;
  e->peer_addrs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peer_view view = { .names = g_ptr_array_new (),
                     .config_max = -1,
                     .oldest_started_ms = INT64_MAX };
  g_ptr_array_add (view.names, g_strdup (e->settings.name));
  if (!incomplete)
    mm_pool_list_begin (e->pool, mm_clock_now_ms ());
  const cJSON *m;
  cJSON_ArrayForEach (m, cJSON_GetObjectItem (list, "members"))
    {
      const char *kind
          = cJSON_GetStringValue (cJSON_GetObjectItem (m, "kind"));
      if (kind && g_str_equal (kind, "upstream"))
        apply_upstream (e, m);
      else if (kind && g_str_equal (kind, "entry"))
        apply_peer (e, m, &view);
    }
  if (incomplete)
    add_missing_peers (e, old_addrs, view.names);
  mm_pool_list_end (e->pool);
  g_ptr_array_add (view.names, NULL);
  g_strfreev (e->live_entries);
  e->live_entries = (char **)g_ptr_array_free (view.names, FALSE);
  e->peers_max_config_offset = view.config_max;
  e->peers_started_wall_ms
      = view.oldest_started_ms == INT64_MAX ? 0 : view.oldest_started_ms;
  mm_entry_peers_changed (e, old_addrs);
  g_hash_table_destroy (old_addrs);
}

/* Handles the answer to a member list poll.  Waiting tasks may be sent now, as
   a new list may have added upstreams.  */
static void
members_answered (const mm_http_result *res, void *ctx)
{
  mm_entry *e = ctx;
  cJSON *o = res->status == 200
                 ? cJSON_ParseWithLength (res->body, res->body_bytes)
                 : NULL;
  mm_entry_record_contact (e, o != NULL);
  if (cJSON_IsTrue (cJSON_GetObjectItem (o, "unchanged")))
    mm_counters_add (e->counters, "member_polls_unchanged", 1);
  else if (cJSON_IsArray (cJSON_GetObjectItem (o, "members")))
    {
      apply_members (e, o);
      mm_counters_add (e->counters, "member_polls_ok", 1);
      mm_entry_send_waiting (e);
    }
  else
    mm_counters_add (e->counters, "member_polls_failed", 1);
  cJSON_Delete (o);
}

static void
member_poll_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  /* Requests only the members of this data centre, and only when the list
     has changed.  Reading the list of the whole fleet on every poll would
     exceed the budget for control traffic (docs/CAPACITY.md).  */
  char *url = g_strdup_printf (
      "%s/v1/members?datacentre=%s&since=%" G_GINT64_FORMAT,
      e->settings.platform_url, e->settings.datacentre, e->members_version);
  mm_http_client_call (e->platform_client, "GET", url, NULL, 1000,
                       members_answered, e);
  g_free (url);
}

/* Applies a record of the config stream.  A record that does not follow the
   head or is not valid is refused and logged.  */
static void
apply_record (mm_entry *e, int64_t offset, const cJSON *data)
{
  char *text = cJSON_PrintUnformatted (data);
  GError *err = NULL;
  int64_t old_head = mm_cfg_head (e->cfg);
  if (mm_cfg_apply (e->cfg, offset, text, &err))
    {
      e->head_refreshed_ms = mm_clock_now_ms ();
      mm_counters_add (e->counters, "config_applied", 1);
      g_message ("config %" G_GINT64_FORMAT " in force (was %" G_GINT64_FORMAT
                 ")",
                 offset, old_head);
    }
  else if (err)
    {
      mm_counters_add (e->counters, "config_rejected", 1);
      g_message ("config %" G_GINT64_FORMAT " refused: %s", offset,
                 err->message);
      g_error_free (err);
    }
  free (text);
}

/* Adopts a record as the config head of an instance that has none, because the
   log no longer holds the records from offset 0.  The record is the head that
   live peers report, or the last snapshot in @records when no peer reports a
   head.  Returns the offset of the record, or -1 when @records lacks it.  */
static int64_t
adopt_head (mm_entry *e, const cJSON *records)
{
  const cJSON *r, *pick = NULL;
  cJSON_ArrayForEach (r, records)
    {
      int64_t off
          = (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (r, "offset"));
      const cJSON *d = cJSON_GetObjectItem (r, "data");
      const char *kind
          = cJSON_GetStringValue (cJSON_GetObjectItem (d, "kind"));
      if (e->peers_max_config_offset >= 0
              ? off == e->peers_max_config_offset
              : kind && g_str_equal (kind, "snapshot"))
        pick = r;
    }
  if (!pick)
    return -1;
  int64_t off
      = (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (pick, "offset"));
  char *text = cJSON_PrintUnformatted (cJSON_GetObjectItem (pick, "data"));
  GError *err = NULL;
  if (mm_cfg_adopt (e->cfg, off, text, &err))
    {
      e->head_refreshed_ms = mm_clock_now_ms ();
      g_message ("config %" G_GINT64_FORMAT " adopted at start", off);
    }
  g_clear_error (&err);
  free (text);
  return off;
}

static void
snapshot_answered (const mm_http_result *res, void *ctx)
{
  mm_entry *e = ctx;
  mm_counters_add (
      e->counters,
      res->status == 200 ? "config_snapshots" : "config_snapshots_failed", 1);
}

/* Appends the head config again as a snapshot before the log's retention
   drops it.  One live instance does so, the rendezvous owner of
   "config-snapshot".  */
static void
append_snapshot_if_due (mm_entry *e)
{
  if (mm_cfg_head (e->cfg) < 0 || !e->live_entries
      || mm_clock_now_ms () - e->head_refreshed_ms
             < e->settings.config_snapshot_ms)
    return;
  int owner = mm_hash_owner ("config-snapshot", e->live_entries,
                             g_strv_length (e->live_entries));
  if (owner < 0 || strcmp (e->live_entries[owner], e->settings.name) != 0)
    return;
  char *rec = mm_cfg_snapshot_record (e->cfg);
  char *url = g_strdup_printf ("%s/v1/log/config", e->settings.platform_url);
  mm_http_client_call (e->platform_client, "POST", url, rec, 1000,
                       snapshot_answered, e);
  e->head_refreshed_ms = mm_clock_now_ms ();
  g_free (url);
  free (rec);
}

/* Applies the records that a read of the config stream returned.  */
static void
config_answered (const mm_http_result *res, void *ctx)
{
  mm_entry *e = ctx;
  e->config_poll_pending = false;
  mm_entry_record_contact (e, res->status == 200);
  if (res->status != 200)
    {
      mm_counters_add (e->counters, "config_polls_failed", 1);
      return;
    }
  cJSON *o = cJSON_ParseWithLength (res->body, res->body_bytes);
  int64_t first
      = (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (o, "first"));
  const cJSON *records = cJSON_GetObjectItem (o, "records");
  /* The log begins at the offset first.  When that is past the cursor, the
     records in between are gone, and an instance without a head adopts one.
     The records up to the adopted head are not applied.  */
  int64_t skip_to = -1;
  if (first > e->config_cursor && mm_cfg_head (e->cfg) < 0)
    skip_to = adopt_head (e, records);
  const cJSON *r;
  cJSON_ArrayForEach (r, records)
    {
      int64_t off
          = (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (r, "offset"));
      if (off > skip_to)
        apply_record (e, off, cJSON_GetObjectItem (r, "data"));
      e->config_cursor = off + 1;
    }
  cJSON_Delete (o);
  append_snapshot_if_due (e);
}

/* Reads the config stream on, unless the last read has not ended.  */
static void
config_poll_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  if (e->config_poll_pending)
    return;
  e->config_poll_pending = true;
  char *url = g_strdup_printf ("%s/v1/log/config?from=%" G_GINT64_FORMAT,
                               e->settings.platform_url, e->config_cursor);
  mm_http_client_call (e->platform_client, "GET", url, NULL, 1000,
                       config_answered, e);
  g_free (url);
}

/**
 * mm_entry_platform_start() - start heartbeats and polls.
 * @e: the entry instance; does nothing when platform_url is empty.
 */
void
mm_entry_platform_start (mm_entry *e)
{
  if (!*e->settings.platform_url)
    return;
  ev_timer_init (&e->heartbeat, heartbeat_cb, 0.,
                 (double)e->settings.heartbeat_ms / 1000.0);
  e->heartbeat.data = e;
  ev_timer_start (e->loop, &e->heartbeat);
  ev_timer_init (&e->member_poll, member_poll_cb, 0.,
                 (double)e->settings.member_poll_ms / 1000.0);
  e->member_poll.data = e;
  ev_timer_start (e->loop, &e->member_poll);
  ev_timer_init (&e->config_poll, config_poll_cb, 0.,
                 (double)e->settings.config_poll_ms / 1000.0);
  e->config_poll.data = e;
  ev_timer_start (e->loop, &e->config_poll);
}

void
mm_entry_platform_stop (mm_entry *e)
{
  ev_timer_stop (e->loop, &e->heartbeat);
  ev_timer_stop (e->loop, &e->member_poll);
  ev_timer_stop (e->loop, &e->config_poll);
}
