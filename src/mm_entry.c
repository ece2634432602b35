/* mm_entry: an entry instance.  Callers POST /v1/jobs and get one complete
   answer.  GET /v1/state dumps the state of the instance, GET /v1/health
   answers whether it accepts jobs.  Settings come from TOML
   (mm_entry_setting_specs); the configuration that operators change at run
   time comes from the config stream.  */
#include "config.h"
#include "mm_entry_priv.h"

#include <cJSON.h>
#include <stddef.h>
#include <string.h>

#define SPEC(k, t, f, lo, hi, h)                                              \
  {                                                                           \
    k, t, offsetof (mm_entry_settings, f), lo, hi, h                          \
  }

const mm_setting_spec mm_entry_setting_specs[] = {
  SPEC ("entry.listen_host", MM_SETTING_STRING, listen_host, 0, 0,
        "address to bind"),
  SPEC ("entry.port", MM_SETTING_INT, port, 0, 65535, "caller HTTP port"),
  SPEC ("entry.peer_port", MM_SETTING_INT, peer_port, 0, 65535,
        "peer TCP port"),
  SPEC ("entry.name", MM_SETTING_STRING, name, 0, 0, "unique member name"),
  SPEC ("entry.site", MM_SETTING_STRING, site, 0, 0,
        "site whose overlay applies"),
  SPEC ("entry.datacentre", MM_SETTING_STRING, datacentre, 0, 0,
        "data centre"),
  SPEC ("entry.platform_url", MM_SETTING_STRING, platform_url, 0, 0,
        "platform service URL, empty for none"),
  SPEC ("entry.upstreams", MM_SETTING_STRINGS, upstreams, 0, 0,
        "host:port of upstreams known before the member list"),
  SPEC ("entry.peers", MM_SETTING_STRINGS, peers, 0, 0,
        "name=host:port of entry peers"),
  SPEC ("entry.upstream_slots", MM_SETTING_INT, upstream_slots, 1, 4096,
        "slots of an upstream that does not say"),
  SPEC ("entry.heartbeat_ms", MM_SETTING_INT, heartbeat_ms, 50, 60000,
        "heartbeat period"),
  SPEC ("entry.member_poll_ms", MM_SETTING_INT, member_poll_ms, 50, 60000,
        "member list poll period"),
  SPEC ("entry.config_poll_ms", MM_SETTING_INT, config_poll_ms, 20, 60000,
        "config stream poll period"),
  SPEC ("entry.config_snapshot_ms", MM_SETTING_INT, config_snapshot_ms, 100,
        INT32_MAX, "re-append the config in force this often"),
  SPEC ("entry.done_ttl_ms", MM_SETTING_INT, done_ttl_ms, 1000, INT32_MAX,
        "finished answers kept this long for resubmits"),
  SPEC ("entry.shards", MM_SETTING_INT, shards, 1, 1024,
        "shards of the data centre's jobs; the same on every instance"),
  SPEC ("entry.accept_interval_ms", MM_SETTING_INT, accept_interval_ms, 0,
        10000, "least time between two appends of a shard's accepts"),
  { NULL },
};

/**
 * mm_entry_settings_defaults() - fill in the default settings.
 * @s: overwritten; its strings are allocated with g_malloc().
 */
void
mm_entry_settings_defaults (mm_entry_settings *s)
{
  memset (s, 0, sizeof *s);
  s->listen_host = g_strdup ("127.0.0.1");
  s->port = MM_DEFAULT_ENTRY_PORT;
  s->peer_port = 0;
  s->name = g_strdup ("entry-1");
  s->site = g_strdup ("lima");
  s->datacentre = g_strdup ("dc1");
  s->platform_url = g_strdup ("");
  s->upstreams = g_new0 (char *, 1);
  s->peers = g_new0 (char *, 1);
  s->upstream_slots = MM_DEFAULT_UPSTREAM_SLOTS;
  s->heartbeat_ms = MM_DEFAULT_HEARTBEAT_MS;
  s->member_poll_ms = MM_DEFAULT_MEMBER_POLL_MS;
  s->config_poll_ms = MM_DEFAULT_CONFIG_POLL_MS;
  s->config_snapshot_ms = MM_DEFAULT_RETENTION_MS / 3;
  s->done_ttl_ms = MM_DEFAULT_DONE_TTL_MS;
  s->shards = MM_DEFAULT_SHARDS;
}

static void
copy_settings (mm_entry_settings *d, const mm_entry_settings *s)
{
  *d = *s;
  d->listen_host = g_strdup (s->listen_host);
  d->name = g_strdup (s->name);
  d->site = g_strdup (s->site);
  d->datacentre = g_strdup (s->datacentre);
  d->platform_url = g_strdup (s->platform_url);
  d->upstreams = g_strdupv (s->upstreams);
  d->peers = g_strdupv (s->peers);
}

static void
free_settings (mm_entry_settings *s)
{
  g_free (s->listen_host);
  g_free (s->name);
  g_free (s->site);
  g_free (s->datacentre);
  g_free (s->platform_url);
  g_strfreev (s->upstreams);
  g_strfreev (s->peers);
}

static void
reply_state (mm_entry *e, mm_http_request *req)
{
  char *state_json = mm_entry_dump (e);
  mm_http_reply (req, 200, state_json, 0);
  free (state_json);
}

static void
handle_request (mm_http_request *req, void *ctx)
{
  mm_entry *e = ctx;
  const char *m = mm_http_request_method (req);
  const char *p = mm_http_request_path (req);
  if (g_str_equal (m, "POST") && g_str_equal (p, "/v1/jobs"))
    mm_entry_submit (e, req);
  else if (g_str_equal (p, "/v1/state"))
    reply_state (e, req);
  else if (g_str_equal (p, "/v1/health"))
    mm_http_reply (req, e->shutting_down ? 503 : 200,
                   e->shutting_down ? "{\"status\":\"leaving\"}"
                                    : "{\"status\":\"live\"}",
                   0);
  else
    {
      char *body
          = mm_json_error_body (MM_ERROR_BAD_REQUEST, "no such path", 0);
      mm_http_reply (req, 404, body, 0);
      free (body);
    }
}

static void
on_peer_job (mm_peer *p, uint64_t link_id, uint64_t req_id, uint32_t hops,
             const uint8_t *job, size_t len, void *ctx)
{
  mm_entry_submit_forwarded (ctx, link_id, req_id, hops, job, len);
}

/* Completes the shutdown once no job, request or call to an upstream is open
   and the shards are released.  Runs once after each event that may end the
   last of them.  */
static void
shutdown_check_cb (struct ev_loop *loop, ev_idle *w, int revents)
{
  mm_entry *e = w->data;
  ev_idle_stop (loop, w);
  if (g_hash_table_size (e->jobs) || mm_http_server_in_flight (e->http_server)
      || mm_http_client_in_flight (e->upstream_client)
      || !mm_entry_shards_release (e))
    return;
  if (e->shutdown_done)
    {
      void (*cb) (void *) = e->shutdown_done;
      e->shutdown_done = NULL;
      cb (e->shutdown_ctx);
    }
}

/**
 * mm_entry_create() - start an entry instance.
 * @loop: the event loop that it runs on.
 * @s: settings, copied.
 * @error: MM_ERROR_IO when a port cannot be bound.
 *
 * Return: the instance, or NULL with @error set.
 */
mm_entry *
mm_entry_create (struct ev_loop *loop, const mm_entry_settings *s,
                 GError **error)
{
  mm_entry *e = g_new0 (mm_entry, 1);
  e->loop = loop;
  copy_settings (&e->settings, s);
  e->counters = mm_counters_create ();
  e->pool = mm_pool_create ((uint32_t)s->upstream_slots);
  e->cfg = mm_cfg_create (s->site);
  e->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  e->answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free);
  e->quota = mm_quota_create ();
  e->peers_max_config_offset = -1;
  e->members_version = -1;
  e->peer_addrs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&e->queue);
  g_queue_init (&e->answer_order);
  ev_idle_init (&e->shutdown_check, shutdown_check_cb);
  e->shutdown_check.data = e;
  for (char **u = s->upstreams; u && *u; u++)
    mm_pool_add (e->pool, *u, *u, 0, 0);
  e->http_server = mm_http_server_create (
      loop, s->listen_host, (uint16_t)s->port, MM_DEFAULT_MAX_BODY_BYTES,
      handle_request, e, error);
  if (!e->http_server)
    {
      mm_entry_destroy (e);
      return NULL;
    }
  e->budget = mm_budget_create (mm_daemon_memory_bytes (MM_DEFAULT_MEMORY_MB));
  mm_http_limits limits = {
    .connections
    = mm_http_limits_connections (MM_DEFAULT_DESCRIPTORS, e->budget, 0),
    .budget = e->budget,
  };
  mm_http_server_set_limits (e->http_server, &limits);
  e->peer_links = mm_peer_create (loop, s->listen_host, (uint16_t)s->peer_port,
                                  on_peer_job, e, error);
  if (!e->peer_links)
    {
      mm_entry_destroy (e);
      return NULL;
    }
  e->upstream_client
      = mm_http_client_create (loop, MM_DEFAULT_UPSTREAM_CONNECTIONS);
  e->platform_client = mm_http_client_create (loop, MM_PLATFORM_CONNECTIONS);
  mm_http_client_set_member (e->platform_client, s->name);
  mm_entry_shards_start (e);
  mm_entry_platform_start (e);
  mm_entry_answers_start (e);
  mm_entry_notify_start (e);
  return e;
}

/**
 * mm_entry_destroy() - stop the instance at once and free it.
 * @e: the instance, or NULL.
 *
 * Jobs in progress are dropped; mm_entry_shutdown() waits for them.
 */
void
mm_entry_destroy (mm_entry *e)
{
  if (!e)
    return;
  mm_entry_platform_stop (e);
  mm_entry_notify_stop (e);
  ev_timer_stop (e->loop, &e->shutdown_limit_timer);
  ev_idle_stop (e->loop, &e->shutdown_check);
  mm_entry_jobs_free (e);
  mm_http_server_destroy (e->http_server);
  mm_budget_destroy (e->budget);
  mm_peer_destroy (e->peer_links);
  g_hash_table_destroy (e->peer_addrs);
  mm_http_client_destroy (e->upstream_client);
  mm_http_client_destroy (e->platform_client);
  mm_entry_shards_stop (e);
  g_hash_table_destroy (e->jobs);
  g_hash_table_destroy (e->answers);
  mm_quota_destroy (e->quota);
  mm_pool_destroy (e->pool);
  mm_cfg_destroy (e->cfg);
  mm_counters_destroy (e->counters);
  g_strfreev (e->live_entries);
  free_settings (&e->settings);
  g_free (e);
}

/**
 * mm_entry_shutdown() - graceful stop.
 * @e: the instance.
 * @done: called once no job, request or upstream call is open and the shards
 *        are released, which takes MM_RELEASE_LIMIT_MS at most.
 * @ctx: context pointer for @done.
 *
 * A heartbeat with the state "leaving" goes to the member list at once, so
 * that the balancer and peers stop sending.  New jobs are refused as not run
 * with a Retry-After.  Jobs in flight run until they are answered.
 */
void
mm_entry_shutdown (mm_entry *e, void (*done) (void *), void *ctx)
{
  e->shutting_down = true;
  e->shutdown_done = done;
  e->shutdown_ctx = ctx;
  if (*e->settings.platform_url)
    mm_entry_heartbeat_now (e);
  mm_http_server_quiesce (e->http_server);
  ev_idle_start (e->loop, &e->shutdown_check);
}

/**
 * mm_entry_dump() - dump the state of the instance.
 * @e: the instance.
 *
 * Return: JSON text (settings, config head, upstreams, jobs, counters);
 * free with free().
 */
char *
mm_entry_dump (const mm_entry *e)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "name", e->settings.name);
  cJSON_AddStringToObject (o, "site", e->settings.site);
  cJSON_AddStringToObject (o, "datacentre", e->settings.datacentre);
  cJSON_AddBoolToObject (o, "shutting_down", e->shutting_down);
  cJSON_AddNumberToObject (o, "config_offset", (double)mm_cfg_head (e->cfg));
  cJSON_AddNumberToObject (o, "config_rejected",
                           (double)mm_cfg_rejected (e->cfg));
  const mm_cfg_settings *k = mm_cfg_current (e->cfg);
  cJSON *config_json = cJSON_AddObjectToObject (o, "config");
  cJSON_AddNumberToObject (config_json, "max_tasks_per_job",
                           (double)k->max_tasks_per_job);
  cJSON_AddNumberToObject (config_json, "retry_budget",
                           (double)k->retry_budget);
  cJSON_AddNumberToObject (config_json, "dispatch_timeout_ms",
                           (double)k->dispatch_timeout_ms);
  cJSON_AddNumberToObject (config_json, "max_queued_tasks",
                           (double)k->max_queued_tasks);
  cJSON_AddNumberToObject (config_json, "team_max_queued_tasks",
                           (double)k->team_max_queued_tasks);
  cJSON *upstream_array = cJSON_AddArrayToObject (o, "upstreams");
  /* Indexed by mm_upstream_state.  */
  static const char *const states[]
      = { "live", "leaving", "ejected", "on_trial" };
  for (uint32_t i = 0; i < mm_pool_size (e->pool); i++)
    {
      const mm_pool_member *m = mm_pool_at (e->pool, (int)i);
      cJSON *u = cJSON_CreateObject ();
      cJSON_AddStringToObject (u, "name", m->name);
      cJSON_AddStringToObject (u, "state", states[m->state]);
      cJSON_AddNumberToObject (u, "slots", m->slots);
      cJSON_AddNumberToObject (u, "in_flight", m->in_flight);
      cJSON_AddItemToArray (upstream_array, u);
    }
  cJSON_AddNumberToObject (o, "tasks_queued", e->tasks_queued);
  cJSON_AddNumberToObject (o, "teams", mm_quota_team_count (e->quota));
  cJSON_AddNumberToObject (o, "queue_length", e->queue.length);
  cJSON_AddNumberToObject (o, "answers_kept", g_hash_table_size (e->answers));
  mm_entry_shards_dump (e, o);
  char *jobs = mm_entry_jobs_dump (e);
  cJSON_AddItemToObject (o, "jobs", cJSON_Parse (jobs));
  free (jobs);
  char *counters_json = mm_counters_to_json (e->counters);
  cJSON_AddItemToObject (o, "counters", cJSON_Parse (counters_json));
  free (counters_json);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}
