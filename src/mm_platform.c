/* mm_platform: stand-in for the HTTP service of the platform.

   - An append-only log per stream: POST /v1/log/STREAM appends a JSON
     record and answers with its offset; GET /v1/log/STREAM?from=N&max=M
     reads in order.  Records older than the retention are dropped from the
     front, and "first" is the offset at which the log now begins.
     A stream keeps the highest producer epoch it has seen: an append with
     a lower ?epoch=N is answered with 409 and that epoch, so a writer that
     was replaced can no longer write.  Answers to reads contain the epoch
     too.  An append with ?at=N is answered with 412 unless the stream ends
     at N.
   - A member list: PUT /v1/members/NAME is a heartbeat with the state of
     the member; GET /v1/members shows each member as it was member_lag_ms
     ago, and drops members without a heartbeat for member_ttl_ms.
   - Faults, POST /v1/faults: {"down":true} answers 503 to all but
     /v1/faults and /v1/state; {"slow_ms":N} delays every answer;
     {"lose_answers":N} applies the next N appends but loses their
     answers (the caller receives 504 although the record is in the log);
     {"cut":"NAME,..."} answers 503 to every request of these members and
     serves the others ("" ends it); {"link_kbps":N,"link_delay_ms":M}
     puts each member behind a link of its own, on which its answers are
     sent one after another (0 ends it).  Callers send their member name in
     X-Masticmill-Member.  */
#include "config.h"
#include "masticmill.h"
#include "mm_stream_server.h"

#include <cJSON.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* A record of a log.  */
typedef struct
{
  int64_t offset;
  mm_time_ms written_ms;
  char *data; /* JSON */
} log_record;

/* An append-only log.  */
typedef struct
{
  char *name;
  int64_t first;  /* offset of the oldest record that is kept */
  int64_t head;   /* next offset to write */
  int64_t epoch;  /* highest producer epoch seen, 0: none */
  GQueue records; /* log_record *, oldest first */
} log_stream;

/* A member of the member list.  */
typedef struct
{
  char *name;
  char *datacentre;        /* from its heartbeat, for filtered reads */
  char *shown;             /* JSON in the member list, NULL: not shown yet */
  char *latest;            /* JSON of the last heartbeat */
  mm_time_ms latest_ms;    /* when latest changed */
  mm_time_ms heartbeat_ms; /* when the last heartbeat arrived */
} member;

struct mm_platform
{
  struct ev_loop *loop;
  mm_platform_settings settings;
  mm_http_server *http;
  mm_counters *counters;
  GHashTable *streams;     /* name -> log_stream */
  GHashTable *members;     /* name -> member */
  int64_t members_version; /* incremented when the member list changes */
  bool down;               /* fault: requests are answered with 503 */
  int64_t slow_ms;         /* fault: added delay of answers */
  int64_t lose_answers;    /* fault: number of next writes without answer */
  mm_stream_server *streams_server; /* keyed streams and groups */
  char *disconnected;    /* disconnected members, comma-separated, "": none */
  int64_t link_kbps;     /* kbit/s of each member's link, 0: no limit */
  int64_t link_delay_ms; /* added to each answer on a link */
  GHashTable *link_busy; /* member -> mm_time_ms, link is busy until then */
};

/* An answer that is sent when its timer expires.  */
typedef struct
{
  ev_timer timer;
  mm_http_request *req;
  unsigned status;
  char *body;
} delayed_answer;

const mm_setting_spec mm_platform_setting_specs[] = {
  { "platform.listen_host", MM_SETTING_STRING,
    offsetof (mm_platform_settings, listen_host), 0, 0, "address to bind" },
  { "platform.port", MM_SETTING_INT, offsetof (mm_platform_settings, port), 0,
    65535, "HTTP port" },
  { "platform.retention_ms", MM_SETTING_INT,
    offsetof (mm_platform_settings, retention_ms), 100, INT32_MAX,
    "log records are kept this long" },
  { "platform.member_ttl_ms", MM_SETTING_INT,
    offsetof (mm_platform_settings, member_ttl_ms), 100, 600000,
    "a member is dropped after this time without a heartbeat" },
  { "platform.member_lag_ms", MM_SETTING_INT,
    offsetof (mm_platform_settings, member_lag_ms), 0, 600000,
    "lag of the member list" },
  { NULL },
};

/**
 * mm_platform_settings_defaults() - sets every setting to its default.
 * @s: the settings; their string is allocated, free it with g_free().
 */
void
mm_platform_settings_defaults (mm_platform_settings *s)
{
  memset (s, 0, sizeof *s);
  s->listen_host = g_strdup ("127.0.0.1");
  s->port = MM_DEFAULT_PLATFORM_PORT;
  s->retention_ms = MM_DEFAULT_RETENTION_MS;
  s->member_ttl_ms = MM_DEFAULT_MEMBER_TTL_MS;
  s->member_lag_ms = MM_DEFAULT_MEMBER_LAG_MS;
}

static void
delayed_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  delayed_answer *d = (delayed_answer *)w;
  mm_http_reply (d->req, d->status, d->body, 0);
  g_free (d->body);
  g_free (d);
}

/* Returns the time that an answer of @bytes takes over its member's link, and
   marks the link as busy until the answer is through.  The answer queues
   behind the earlier answers on the link, also behind those whose callers no
   longer wait.  */
static mm_time_ms
link_time_ms (mm_platform *p, const mm_http_request *req, size_t bytes)
{
  const char *member = mm_http_request_header (req, "X-Masticmill-Member");
  if (p->link_kbps <= 0 || !member)
    return 0;
  mm_time_ms now = mm_clock_now_ms ();
  const mm_time_ms *last_busy_until_ms
      = g_hash_table_lookup (p->link_busy, member);
  mm_time_ms *busy_until_ms = g_new (mm_time_ms, 1);
  *busy_until_ms = MAX (now, last_busy_until_ms ? *last_busy_until_ms : 0)
                   + (mm_time_ms)bytes * 8 / (mm_time_ms)p->link_kbps;
  mm_time_ms took_ms = *busy_until_ms - now;
  g_hash_table_replace (p->link_busy, g_strdup (member), busy_until_ms);
  return took_ms + p->link_delay_ms;
}

/* Sends an answer and frees its body.  All answers but those to /v1/faults,
   /v1/state and an unavailable caller are sent here, so that "slow_ms" and the
   links delay each of them.  */
static void
answer (mm_platform *p, mm_http_request *req, unsigned status, char *body)
{
  mm_time_ms delay_ms = p->slow_ms + link_time_ms (p, req, strlen (body));
  if (delay_ms <= 0)
    {
      mm_http_reply (req, status, body, 0);
      free (body);
      return;
    }
  delayed_answer *d = g_new0 (delayed_answer, 1);
  d->req = req;
  d->status = status;
  d->body = g_strdup (body);
  free (body);
  ev_timer_init (&d->timer, delayed_cb, (double)delay_ms / 1000.0, 0.);
  ev_timer_start (p->loop, &d->timer);
}

static void
answer_error (mm_platform *p, mm_http_request *req, unsigned status, int code,
              const char *msg)
{
  answer (p, req, status, mm_json_error_body (code, msg, 1));
}

/* Returns the log of that name, which is created if there is none yet.  */
static log_stream *
get_stream (mm_platform *p, const char *name)
{
  log_stream *s = g_hash_table_lookup (p->streams, name);
  if (!s)
    {
      s = g_new0 (log_stream, 1);
      s->name = g_strdup (name);
      g_queue_init (&s->records);
      g_hash_table_insert (p->streams, s->name, s);
    }
  return s;
}

static void
free_record (gpointer data)
{
  log_record *r = data;
  g_free (r->data);
  g_free (r);
}

static void
free_stream (gpointer data)
{
  log_stream *s = data;
  g_queue_clear_full (&s->records, free_record);
  g_free (s->name);
  g_free (s);
}

/* Drops the records of a log that are older than the retention.  */
static void
apply_retention (mm_platform *p, log_stream *s, mm_time_ms now)
{
  log_record *r;
  while ((r = g_queue_peek_head (&s->records))
         && now - r->written_ms > p->settings.retention_ms)
    {
      free_record (g_queue_pop_head (&s->records));
      s->first++;
      mm_counters_add (p->counters, "log_records_expired", 1);
    }
}

/* Handles POST /v1/log/STREAM?epoch=N&at=N.  An append with an outdated epoch,
   or at an offset other than the end of the log, is refused.  */
static void
log_append (mm_platform *p, mm_http_request *req, const char *stream)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *record = cJSON_ParseWithLength (body, len);
  if (!record)
    {
      answer_error (p, req, 400, MM_ERROR_BAD_REQUEST, "record is not JSON");
      return;
    }
  cJSON_Delete (record);
  log_stream *s = get_stream (p, stream);
  const char *epoch_text = mm_http_request_query (req, "epoch");
  int64_t epoch
      = epoch_text ? g_ascii_strtoll (epoch_text, NULL, 10) : s->epoch;
  if (epoch < s->epoch)
    {
      mm_counters_add (p->counters, "log_appends_fenced", 1);
      answer (p, req, 409,
              g_strdup_printf ("{\"reason\":\"fenced\",\"epoch\":"
                               "%" G_GINT64_FORMAT "}",
                               s->epoch));
      return;
    }
  const char *at_text = mm_http_request_query (req, "at");
  if (at_text && g_ascii_strtoll (at_text, NULL, 10) != s->head)
    {
      answer (p, req, 412,
              g_strdup_printf ("{\"end\":%" G_GINT64_FORMAT "}", s->head));
      return;
    }
  s->epoch = epoch;
  mm_time_ms now = mm_clock_now_ms ();
  apply_retention (p, s, now);
  log_record *r = g_new0 (log_record, 1);
  r->offset = s->head++;
  r->written_ms = now;
  r->data = g_strndup (body, len);
  g_queue_push_tail (&s->records, r);
  mm_counters_add (p->counters, "log_appends", 1);
  if (p->lose_answers > 0)
    {
      /* Simulates an append that took effect but whose answer is lost.  */
      p->lose_answers--;
      mm_counters_add (p->counters, "answers_lost", 1);
      answer_error (p, req, 504, MM_ERROR_PLATFORM, "answer lost");
      return;
    }
  answer (p, req, 200,
          g_strdup_printf ("{\"offset\":%" G_GINT64_FORMAT "}", r->offset));
}

/* Handles GET /v1/log/STREAM?from=N&max=M: the records from offset N on, at
   most M and never more than MM_DEFAULT_LOG_READ_MAX.  */
static void
log_read (mm_platform *p, mm_http_request *req, const char *stream)
{
  log_stream *s = get_stream (p, stream);
  apply_retention (p, s, mm_clock_now_ms ());
  const char *from_text = mm_http_request_query (req, "from");
  const char *max_text = mm_http_request_query (req, "max");
  int64_t from = from_text ? g_ascii_strtoll (from_text, NULL, 10) : 0;
  int64_t max = max_text ? g_ascii_strtoll (max_text, NULL, 10)
                         : MM_DEFAULT_LOG_READ_MAX;
  max = CLAMP (max, 1, MM_DEFAULT_LOG_READ_MAX);
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "first", (double)s->first);
  cJSON_AddNumberToObject (o, "head", (double)s->head);
  cJSON_AddNumberToObject (o, "epoch", (double)s->epoch);
  cJSON *arr = cJSON_AddArrayToObject (o, "records");
  int64_t n = 0;
  for (GList *l = s->records.head; l && n < max; l = l->next)
    {
      log_record *r = l->data;
      if (r->offset < from)
        continue;
      cJSON *rec = cJSON_CreateObject ();
      cJSON_AddNumberToObject (rec, "offset", (double)r->offset);
      cJSON_AddItemToObject (rec, "data", cJSON_CreateRaw (r->data));
      cJSON_AddItemToArray (arr, rec);
      n++;
    }
  mm_counters_add (p->counters, "log_reads", 1);
  char *text = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  answer (p, req, 200, text);
}

/* Handles PUT /v1/members/NAME, a heartbeat.  */
static void
member_put (mm_platform *p, mm_http_request *req, const char *name)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *o = cJSON_ParseWithLength (body, len);
  if (!cJSON_IsObject (o))
    {
      cJSON_Delete (o);
      answer_error (p, req, 400, MM_ERROR_BAD_REQUEST, "member is not JSON");
      return;
    }
  cJSON_AddStringToObject (o, "name", name);
  char *dc = g_strdup (
      cJSON_GetStringValue (cJSON_GetObjectItem (o, "datacentre")));
  char *text = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  mm_time_ms now = mm_clock_now_ms ();
  member *m = g_hash_table_lookup (p->members, name);
  if (!m)
    {
      m = g_new0 (member, 1);
      m->name = g_strdup (name);
      g_hash_table_insert (p->members, m->name, m);
    }
  if (!m->latest || strcmp (m->latest, text) != 0)
    {
      g_free (m->latest);
      m->latest = g_strdup (text);
      m->latest_ms = now;
    }
  m->heartbeat_ms = now;
  g_free (m->datacentre);
  m->datacentre = dc ? dc : g_strdup ("");
  free (text);
  mm_counters_add (p->counters, "member_heartbeats", 1);
  answer (p, req, 200, g_strdup ("{\"status\":\"ok\"}"));
}

static void
free_member (gpointer data)
{
  member *m = data;
  g_free (m->name);
  g_free (m->datacentre);
  g_free (m->shown);
  g_free (m->latest);
  g_free (m);
}

/* Updates the member list that readers get.  The list lags: a change appears
   member_lag_ms after it was made, and a member without heartbeats is dropped
   member_lag_ms after its TTL.  */
static void
members_refresh (mm_platform *p, mm_time_ms now)
{
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, p->members);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      member *m = v;
      if (now - m->heartbeat_ms
          > p->settings.member_ttl_ms + p->settings.member_lag_ms)
        {
          if (m->shown)
            p->members_version++;
          g_hash_table_iter_remove (&it);
          continue;
        }
      if (now - m->latest_ms >= p->settings.member_lag_ms
          && (!m->shown || strcmp (m->shown, m->latest) != 0))
        {
          g_free (m->shown);
          m->shown = g_strdup (m->latest);
          p->members_version++;
        }
    }
}

/* Handles GET /v1/members[?datacentre=DC][&since=V]: the member list,
   restricted to the members of DC if given.  When nothing has changed since
   version V, the answer is only {"version":V,"unchanged":true}, so that
   polling costs a few bytes.  */
static void
members_get (mm_platform *p, mm_http_request *req)
{
  members_refresh (p, mm_clock_now_ms ());
  const char *dc = mm_http_request_query (req, "datacentre");
  const char *since = mm_http_request_query (req, "since");
  if (since && g_ascii_strtoll (since, NULL, 10) == p->members_version)
    {
      mm_counters_add (p->counters, "member_reads_unchanged", 1);
      answer (p, req, 200,
              g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT
                               ",\"unchanged\":true}",
                               p->members_version));
      return;
    }
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "version", (double)p->members_version);
  cJSON *arr = cJSON_AddArrayToObject (o, "members");
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, p->members);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      member *m = v;
      if (m->shown && (!dc || g_str_equal (dc, m->datacentre)))
        cJSON_AddItemToArray (arr, cJSON_CreateRaw (m->shown));
    }
  char *text = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  mm_counters_add (p->counters, "member_reads_full", 1);
  answer (p, req, 200, text);
}

/* Handles POST /v1/faults: changes the faults that the body names.  */
static void
set_faults (mm_platform *p, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *o = cJSON_ParseWithLength (body, len);
  const cJSON *down = cJSON_GetObjectItemCaseSensitive (o, "down");
  const cJSON *slow = cJSON_GetObjectItemCaseSensitive (o, "slow_ms");
  const cJSON *lose = cJSON_GetObjectItemCaseSensitive (o, "lose_answers");
  if (cJSON_IsBool (down))
    p->down = cJSON_IsTrue (down);
  if (cJSON_IsNumber (slow))
    p->slow_ms = (int64_t)slow->valuedouble;
  if (cJSON_IsNumber (lose))
    p->lose_answers = (int64_t)lose->valuedouble;
  const cJSON *kbps = cJSON_GetObjectItemCaseSensitive (o, "link_kbps");
  const cJSON *delay = cJSON_GetObjectItemCaseSensitive (o, "link_delay_ms");
  if (cJSON_IsNumber (kbps))
    p->link_kbps = (int64_t)kbps->valuedouble;
  if (cJSON_IsNumber (delay))
    p->link_delay_ms = (int64_t)delay->valuedouble;
  const cJSON *disconnected = cJSON_GetObjectItemCaseSensitive (o, "cut");
  if (cJSON_IsString (disconnected))
    {
      g_free (p->disconnected);
      p->disconnected = g_strdup (disconnected->valuestring);
    }
  cJSON_Delete (o);
  g_message ("faults: down=%d slow_ms=%" G_GINT64_FORMAT
             " lose_answers=%" G_GINT64_FORMAT " cut=%s link_kbps="
             "%" G_GINT64_FORMAT " link_delay_ms=%" G_GINT64_FORMAT,
             p->down, p->slow_ms, p->lose_answers, p->disconnected,
             p->link_kbps, p->link_delay_ms);
  mm_http_reply (req, 200, "{\"status\":\"ok\"}", 0);
}

/* Returns whether a fault makes the stand-in unavailable for the sender of a
   request: it is down, or the sender is disconnected.  */
static bool
is_unavailable (const mm_platform *p, const mm_http_request *req)
{
  const char *member = mm_http_request_header (req, "X-Masticmill-Member");
  if (p->down || !member)
    return p->down;
  char **names = g_strsplit (p->disconnected, ",", 0);
  bool found = g_strv_contains ((const char *const *)names, member);
  g_strfreev (names);
  return found;
}

static void
handle (mm_http_request *req, void *ctx)
{
  mm_platform *p = ctx;
  const char *method = mm_http_request_method (req);
  const char *path = mm_http_request_path (req);
  if (g_str_equal (path, "/v1/faults") && g_str_equal (method, "POST"))
    set_faults (p, req);
  else if (g_str_equal (path, "/v1/state"))
    {
      char *d = mm_platform_dump (p);
      mm_http_reply (req, 200, d, 0);
      free (d);
    }
  else if (is_unavailable (p, req))
    {
      mm_counters_add (p->counters, "refused_down", 1);
      mm_http_reply (req, 503,
                     "{\"status\":\"failed\",\"error\":"
                     "{\"code\":\"platform\",\"message\":\"down\"}}",
                     1);
    }
  else if (mm_stream_server_handle (p->streams_server, req))
    return;
  else if (g_str_has_prefix (path, "/v1/log/") && path[8])
    {
      if (g_str_equal (method, "POST"))
        log_append (p, req, path + 8);
      else
        log_read (p, req, path + 8);
    }
  else if (g_str_has_prefix (path, "/v1/members/") && path[12]
           && g_str_equal (method, "PUT"))
    member_put (p, req, path + 12);
  else if (g_str_equal (path, "/v1/members"))
    members_get (p, req);
  else
    answer_error (p, req, 404, MM_ERROR_BAD_REQUEST, "no such path");
}

/* Sends an answer of the stream server.  A read that waited may end during a
   simulated outage or disconnection, and is then answered with 503.  */
static void
stream_answer (void *ctx, mm_http_request *req, unsigned status, char *body)
{
  mm_platform *p = ctx;
  if (is_unavailable (p, req))
    {
      free (body);
      answer_error (p, req, 503, MM_ERROR_PLATFORM, "down");
      return;
    }
  bool write = strcmp (mm_http_request_method (req), "GET") != 0;
  if (write && p->lose_answers > 0)
    {
      p->lose_answers--;
      free (body);
      answer_error (p, req, 504, MM_ERROR_PLATFORM, "answer lost");
      return;
    }
  answer (p, req, status, body);
}

/**
 * mm_platform_create() - starts the platform stand-in.
 * @loop: the event loop it runs on.
 * @s: settings, copied.
 * @error: MM_ERROR_IO when the port cannot be bound.
 *
 * Return: the stand-in, or NULL with @error set.
 */
mm_platform *
mm_platform_create (struct ev_loop *loop, const mm_platform_settings *s,
                    GError **error)
{
  mm_platform *p = g_new0 (mm_platform, 1);
  p->loop = loop;
  p->settings = *s;
  p->settings.listen_host = g_strdup (s->listen_host);
  p->counters = mm_counters_create ();
  p->disconnected = g_strdup ("");
  p->link_busy
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->streams_server = mm_stream_server_create (loop, stream_answer, p);
  p->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_stream);
  p->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  p->http = mm_http_server_create (loop, s->listen_host, (uint16_t)s->port,
                                   4 << 20, handle, p, error);
  if (!p->http)
    {
      mm_platform_destroy (p);
      return NULL;
    }
  return p;
}

void
mm_platform_destroy (mm_platform *p)
{
  if (!p)
    return;
  mm_http_server_destroy (p->http);
  mm_counters_destroy (p->counters);
  mm_stream_server_destroy (p->streams_server);
  g_hash_table_destroy (p->streams);
  g_hash_table_destroy (p->members);
  g_free (p->settings.listen_host);
  g_hash_table_destroy (p->link_busy);
  g_free (p->disconnected);
  g_free (p);
}

/**
 * mm_platform_dump() - returns the state of the stand-in.
 * @p: the stand-in.
 *
 * Return: JSON text with faults, streams, number of members and counters; free
 * with free().
 */
char *
mm_platform_dump (const mm_platform *p)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddBoolToObject (o, "down", p->down);
  cJSON_AddNumberToObject (o, "slow_ms", (double)p->slow_ms);
  cJSON_AddNumberToObject (o, "lose_answers", (double)p->lose_answers);
  cJSON *streams = cJSON_AddObjectToObject (o, "streams");
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, p->streams);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      log_stream *s = v;
      cJSON *so = cJSON_AddObjectToObject (streams, s->name);
      cJSON_AddNumberToObject (so, "first", (double)s->first);
      cJSON_AddNumberToObject (so, "head", (double)s->head);
      cJSON_AddNumberToObject (so, "epoch", (double)s->epoch);
    }
  cJSON_AddNumberToObject (o, "members", g_hash_table_size (p->members));
  char *c = mm_counters_to_json (p->counters);
  cJSON_AddItemToObject (o, "counters", cJSON_Parse (c));
  free (c);
  char *text = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return text;
}
