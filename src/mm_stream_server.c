/* mm_stream_server: keyed streams and groups of the platform stand-in.  */
#include "mm_stream_server.h"

#include "config.h"
#include "mm_group_table.h"
#include "mm_keyed_log.h"

#include <cJSON.h>
#include <string.h>

#define STREAMS_PATH "/v1/streams/"
#define GROUPS_PATH "/v1/groups/"

/* A keyed stream: its log keeps the newest record of each key.  */
typedef struct
{
  mm_keyed_log *log;
  GHashTable *expiry; /* key -> mm_time_ms, for values with a ttl */
  uint64_t epoch;     /* highest epoch of a writer seen */
  uint64_t next_seq;  /* sequence number of the next append of that epoch */
} stream;

/* A read that waits for a record, at most until answer_by_ms.  */
typedef struct
{
  mm_http_request *req;
  char *stream;
  uint64_t from_offset;
  mm_time_ms answer_by_ms;
} waiting_read;

struct mm_stream_server
{
  struct ev_loop *loop;
  ev_timer tick;
  mm_stream_answer answer; /* sends answers, except to /v1/store-faults */
  void *ctx;               /* context pointer for answer */
  GHashTable *streams;     /* name -> stream */
  GHashTable *groups;      /* name -> mm_group_table */
  GList *reads;            /* waiting_read */
};

static void
stream_free (gpointer p)
{
  stream *t = p;
  mm_keyed_log_destroy (t->log);
  g_hash_table_destroy (t->expiry);
  g_free (t);
}

/* Returns the stream of that name, which is created if there is none yet.  */
static stream *
get_stream (mm_stream_server *s, const char *name)
{
  stream *t = g_hash_table_lookup (s->streams, name);
  if (t)
    return t;
  t = g_new0 (stream, 1);
  t->log = mm_keyed_log_create ();
  t->expiry = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (s->streams, g_strdup (name), t);
  return t;
}

/* Returns the group of that name, which is created if there is none yet.  */
static mm_group_table *
get_group (mm_stream_server *s, const char *name)
{
  mm_group_table *g = g_hash_table_lookup (s->groups, name);
  if (g)
    return g;
  g = mm_group_table_create (MM_DEFAULT_PARTITIONS);
  g_hash_table_insert (s->groups, g_strdup (name), g);
  return g;
}

/* Answers with a JSON object, which is freed.  */
static void
answer_json (mm_stream_server *s, mm_http_request *req, unsigned status,
             cJSON *body)
{
  char *text = cJSON_PrintUnformatted (body);
  cJSON_Delete (body);
  s->answer (s->ctx, req, status, text);
}

static void
answer_error (mm_stream_server *s, mm_http_request *req, unsigned status,
              const char *message)
{
  s->answer (s->ctx, req, status,
             mm_json_error_body (MM_ERROR_BAD_REQUEST, message, 0));
}

/* ---- streams ---------------------------------------------------------- */

/* Adds a record to the list of an answer.  The record of a deleted key has no
   value.  */
static void
add_record (cJSON *list, const mm_keyed_record *r)
{
  cJSON *row = cJSON_CreateObject ();
  cJSON_AddStringToObject (row, "key", r->key);
  if (r->value)
    cJSON_AddItemToObject (row, "value", cJSON_CreateRaw (r->value));
  cJSON_AddItemToArray (list, row);
}

/* Returns a number in the query of a request, 0 when it is missing.  */
static uint64_t
query_number (mm_http_request *req, const char *name)
{
  const char *text = mm_http_request_query (req, name);
  return text ? g_ascii_strtoull (text, NULL, 10) : 0;
}

#define ROW_BYTES 24 /* size of a row besides its key and value */

/* Returns how many of the @n records fit into an answer of @max_bytes (0: no
   limit).  If there is a record, the result is at least one, so that a large
   record does not block the reader for ever.  */
static size_t
records_within (const mm_keyed_record *r, size_t n, uint64_t max_bytes)
{
  uint64_t bytes = 0;
  for (size_t i = 0; max_bytes && i < n; i++)
    {
      bytes += ROW_BYTES + strlen (r[i].key)
               + (r[i].value ? strlen (r[i].value) : 0);
      if (bytes > max_bytes)
        return MAX (i, 1);
    }
  return n;
}

/* Answers with the records from offset @from on, or with 410 when the stream
   no longer has all of them.  */
static void
answer_records (mm_stream_server *s, mm_http_request *req, const stream *t,
                uint64_t from)
{
  if (from < mm_keyed_log_first (t->log))
    {
      answer_error (s, req, 410, "these records are gone");
      return;
    }
  size_t n;
  const mm_keyed_record *r = mm_keyed_log_from (t->log, from, &n);
  n = records_within (r, MIN (n, MM_DEFAULT_LOG_READ_MAX),
                      query_number (req, "max_bytes"));
  cJSON *o = cJSON_CreateObject ();
  cJSON *list = cJSON_AddArrayToObject (o, "items");
  for (size_t i = 0; i < n; i++)
    add_record (list, &r[i]);
  cJSON_AddNumberToObject (o, "next", (double)(from + n));
  cJSON_AddNumberToObject (o, "end", (double)mm_keyed_log_end (t->log));
  answer_json (s, req, 200, o);
}

/* Handles GET /v1/streams/S.  A read from the end of the stream waits for a
   record for up to wait_ms, and for 30 s at most.  */
static void
get_records (mm_stream_server *s, mm_http_request *req, const char *name)
{
  stream *t = get_stream (s, name);
  uint64_t from = query_number (req, "from");
  uint64_t wait_ms = query_number (req, "wait_ms");
  if (from != mm_keyed_log_end (t->log) || wait_ms == 0)
    {
      answer_records (s, req, t, from);
      return;
    }
  waiting_read *r = g_new0 (waiting_read, 1);
  r->req = req;
  r->stream = g_strdup (name);
  r->from_offset = from;
  r->answer_by_ms = mm_clock_now_ms () + (mm_time_ms)MIN (wait_ms, 30000);
  s->reads = g_list_prepend (s->reads, r);
}

/* Handles GET /v1/streams/S/newest?after=KEY: the newest record of each of the
   next MM_STREAM_PAGE keys after KEY, or of the first keys without KEY.  The
   answer has an "after" if there are more keys, and in "next" the offset from
   which to read on.  */
static void
get_newest (mm_stream_server *s, mm_http_request *req, const char *name)
{
  stream *t = get_stream (s, name);
  const char *after = mm_http_request_query (req, "after");
  cJSON *o = cJSON_CreateObject ();
  cJSON *list = cJSON_AddArrayToObject (o, "items");
  const mm_keyed_record *last = NULL;
  for (int i = 0; i < MM_STREAM_PAGE; i++)
    {
      const mm_keyed_record *next = mm_keyed_log_next_key (t->log, after);
      if (!next)
        break;
      add_record (list, next);
      after = next->key;
      last = next;
    }
  if (last && mm_keyed_log_next_key (t->log, last->key))
    cJSON_AddStringToObject (o, "after", last->key);
  cJSON_AddNumberToObject (o, "next", (double)mm_keyed_log_end (t->log));
  answer_json (s, req, 200, o);
}

/* Handles PUT /v1/streams/S/KEY.  The value expires after its "ttl_ms"; a
   value without one does not expire.  */
static void
put_value (mm_stream_server *s, mm_http_request *req, const char *name,
           const char *key)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *value = cJSON_ParseWithLength (body, len);
  if (!value)
    {
      answer_error (s, req, 400, "the value is no JSON");
      return;
    }
  stream *t = get_stream (s, name);
  const cJSON *ttl = cJSON_GetObjectItemCaseSensitive (value, "ttl_ms");
  g_hash_table_remove (t->expiry, key);
  if (cJSON_IsNumber (ttl))
    {
      mm_time_ms *expires_ms = g_new (mm_time_ms, 1);
      *expires_ms = mm_clock_now_ms () + (mm_time_ms)ttl->valuedouble;
      g_hash_table_insert (t->expiry, g_strdup (key), expires_ms);
    }
  char *text = cJSON_PrintUnformatted (value);
  cJSON_Delete (value);
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "offset",
                           (double)mm_keyed_log_put (t->log, key, text));
  free (text);
  answer_json (s, req, 200, o);
}

/* Number of the last appends to a stream that are recognized as repeated when
   they are sent again because their answers were lost, so that they do not
   take effect twice.  */
#define REMEMBERED_APPENDS 5

/* Refuses an append.  The answer names the expected sequence number, unless
   the epoch of the append was too low (@fenced).  */
static void
refuse_append (mm_stream_server *s, mm_http_request *req, const stream *t,
               bool fenced)
{
  cJSON *o = cJSON_CreateObject ();
  if (!fenced)
    cJSON_AddNumberToObject (o, "expected", (double)t->next_seq);
  answer_json (s, req, 409, o);
}

/* Applies a list of records to a stream; a record without a value deletes its
   key.  */
static void
put_records (stream *t, const cJSON *list)
{
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    {
      const char *key = cJSON_GetStringValue (
          cJSON_GetObjectItemCaseSensitive (row, "key"));
      const cJSON *value = cJSON_GetObjectItemCaseSensitive (row, "value");
      char *text = value ? cJSON_PrintUnformatted (value) : NULL;
      if (key)
        mm_keyed_log_put (t->log, key, text);
      cJSON_free (text);
    }
}

/* Handles POST /v1/streams/S/append: appends records for the writer that holds
   an epoch, in order.  An append with a lower epoch or with an unexpected
   sequence number is refused.  A recent append that is sent again is answered
   but not applied again.  An append without records only sets the epoch, and a
   new epoch sets the next sequence number.  */
static void
append_records (mm_stream_server *s, mm_http_request *req, const char *name)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *in = cJSON_ParseWithLength (body, len);
  const cJSON *epoch = cJSON_GetObjectItemCaseSensitive (in, "epoch");
  const cJSON *seq = cJSON_GetObjectItemCaseSensitive (in, "seq");
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (in, "records");
  stream *t = get_stream (s, name);
  uint64_t append_epoch
      = cJSON_IsNumber (epoch) ? (uint64_t)epoch->valuedouble : 0;
  uint64_t append_seq = cJSON_IsNumber (seq) ? (uint64_t)seq->valuedouble : 0;
  bool new_epoch = append_epoch > t->epoch;
  bool has_records = cJSON_GetArraySize (list) > 0;
  bool repeated = !new_epoch && append_seq < t->next_seq
                  && t->next_seq - append_seq <= REMEMBERED_APPENDS;
  if (append_epoch < t->epoch)
    refuse_append (s, req, t, true);
  else if (!new_epoch && has_records && append_seq != t->next_seq && !repeated)
    refuse_append (s, req, t, false);
  else
    {
      t->epoch = append_epoch;
      if (new_epoch)
        t->next_seq = append_seq;
      if (has_records && !repeated)
        {
          put_records (t, list);
          t->next_seq = append_seq + 1;
        }
      answer_json (s, req, 200, cJSON_CreateObject ());
    }
  cJSON_Delete (in);
}

/* Handles a request for @subpath, a path below /v1/streams/.  */
static void
handle_stream (mm_stream_server *s, mm_http_request *req, const char *subpath)
{
  const char *method = mm_http_request_method (req);
  char **components = g_strsplit (subpath, "/", 2);
  if (!components[0] || !*components[0])
    answer_error (s, req, 404, "no stream named");
  else if (strcmp (method, "GET") == 0 && !components[1])
    get_records (s, req, components[0]);
  else if (strcmp (method, "GET") == 0
           && strcmp (components[1], "newest") == 0)
    get_newest (s, req, components[0]);
  else if (strcmp (method, "POST") == 0 && components[1]
           && strcmp (components[1], "append") == 0)
    append_records (s, req, components[0]);
  else if (strcmp (method, "PUT") == 0 && components[1] && *components[1])
    put_value (s, req, components[0], components[1]);
  else if (strcmp (method, "DELETE") == 0 && components[1] && *components[1])
    {
      mm_keyed_log_put (get_stream (s, components[0])->log, components[1],
                        NULL);
      answer_json (s, req, 200, cJSON_CreateObject ());
    }
  else
    answer_error (s, req, 404, "no such path");
  g_strfreev (components);
}

/* ---- groups ----------------------------------------------------------- */

/* Answers with the generation of a group and the partitions that @member
   holds.  */
static void
answer_partitions (mm_stream_server *s, mm_http_request *req,
                   mm_group_table *g, const char *member)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "generation",
                           (double)mm_group_table_generation (g));
  cJSON *list = cJSON_AddArrayToObject (o, "parts");
  for (uint32_t i = 0; i < mm_group_table_partition_count (g); i++)
    {
      const char *holder = mm_group_table_holder (g, i);
      if (holder && strcmp (holder, member) == 0)
        cJSON_AddItemToArray (list, cJSON_CreateNumber (i));
    }
  answer_json (s, req, 200, o);
}

/* Answers with the holder of each partition that has one.  */
static void
answer_holders (mm_stream_server *s, mm_http_request *req, mm_group_table *g)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON *list = cJSON_AddArrayToObject (o, "holders");
  for (uint32_t i = 0; i < mm_group_table_partition_count (g); i++)
    {
      const char *holder = mm_group_table_holder (g, i);
      if (!holder)
        continue;
      cJSON *row = cJSON_CreateArray ();
      cJSON_AddItemToArray (row, cJSON_CreateNumber (i));
      cJSON_AddItemToArray (row, cJSON_CreateString (holder));
      cJSON_AddItemToArray (list, row);
    }
  answer_json (s, req, 200, o);
}

/* Handles POST /v1/groups/G/join and /v1/groups/G/leave; @verb is "join" or
   "leave".  */
static void
change_group (mm_stream_server *s, mm_http_request *req, const char *name,
              const char *verb)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *in = cJSON_ParseWithLength (body, len);
  const char *member
      = cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (in, "member"));
  const cJSON *generation
      = cJSON_GetObjectItemCaseSensitive (in, "generation");
  const cJSON *ttl = cJSON_GetObjectItemCaseSensitive (in, "ttl_ms");
  mm_group_table *g = get_group (s, name);
  if (!member)
    answer_error (s, req, 400, "a member is needed");
  else if (strcmp (verb, "leave") == 0)
    {
      mm_group_table_leave (g, member);
      answer_partitions (s, req, g, member);
    }
  else if (strcmp (verb, "join") != 0 || !cJSON_IsNumber (ttl))
    answer_error (s, req, 400, "join with a ttl_ms, or leave");
  else
    {
      uint64_t seen_generation = cJSON_IsNumber (generation)
                                     ? (uint64_t)generation->valuedouble
                                     : 0;
      mm_group_table_join (g, member, seen_generation,
                           (mm_time_ms)ttl->valuedouble, mm_clock_now_ms ());
      answer_partitions (s, req, g, member);
    }
  cJSON_Delete (in);
}

/* Handles a request for @subpath, a path below /v1/groups/.  */
static void
handle_group (mm_stream_server *s, mm_http_request *req, const char *subpath)
{
  char **components = g_strsplit (subpath, "/", 2);
  if (!components[0] || !*components[0])
    answer_error (s, req, 404, "no group named");
  else if (components[1])
    change_group (s, req, components[0], components[1]);
  else
    answer_holders (s, req, get_group (s, components[0]));
  g_strfreev (components);
}

/* ---- streams and groups ----------------------------------------------- */

/* Handles POST /v1/store-faults: drops the history of all streams, or
   reassigns the partitions of all groups at once.  */
static void
set_faults (mm_stream_server *s, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *in = cJSON_ParseWithLength (body, len);
  GHashTableIter it;
  gpointer v;
  if (cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (in, "drop_history")))
    {
      g_hash_table_iter_init (&it, s->streams);
      while (g_hash_table_iter_next (&it, NULL, &v))
        mm_keyed_log_drop_history (((stream *)v)->log);
    }
  if (cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (in, "deal_anew")))
    {
      g_hash_table_iter_init (&it, s->groups);
      while (g_hash_table_iter_next (&it, NULL, &v))
        mm_group_table_reassign_all (v);
    }
  cJSON_Delete (in);
  mm_http_reply (req, 200, "{\"status\":\"ok\"}", 0);
}

bool
mm_stream_server_handle (mm_stream_server *s, mm_http_request *req)
{
  const char *path = mm_http_request_path (req);
  if (strcmp (path, "/v1/store-faults") == 0)
    set_faults (s, req);
  else if (g_str_has_prefix (path, STREAMS_PATH))
    handle_stream (s, req, path + strlen (STREAMS_PATH));
  else if (g_str_has_prefix (path, GROUPS_PATH))
    handle_group (s, req, path + strlen (GROUPS_PATH));
  else
    return false;
  return true;
}

/* Deletes the values of a stream whose ttl has passed.  */
static void
expire_values (stream *t, mm_time_ms now)
{
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, t->expiry);
  while (g_hash_table_iter_next (&it, &k, &v))
    if (now > *(mm_time_ms *)v)
      {
        mm_keyed_log_put (t->log, k, NULL);
        g_hash_table_iter_remove (&it);
      }
}

/* Answers the waiting reads that have a record or whose time is up.  */
static void
answer_reads (mm_stream_server *s, mm_time_ms now)
{
  GList *next;
  for (GList *l = s->reads; l; l = next)
    {
      next = l->next;
      waiting_read *r = l->data;
      stream *t = get_stream (s, r->stream);
      if (mm_keyed_log_end (t->log) == r->from_offset && now < r->answer_by_ms)
        continue;
      s->reads = g_list_delete_link (s->reads, l);
      answer_records (s, r->req, t, r->from_offset);
      g_free (r->stream);
      g_free (r);
    }
}

/* Removes expired values and group members, then answers waiting reads.  */
static void
tick_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_stream_server *s = w->data;
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, s->streams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    expire_values (v, now);
  g_hash_table_iter_init (&it, s->groups);
  while (g_hash_table_iter_next (&it, NULL, &v))
    mm_group_table_step (v, now);
  answer_reads (s, now);
}

mm_stream_server *
mm_stream_server_create (struct ev_loop *loop, mm_stream_answer answer,
                         void *ctx)
{
  mm_stream_server *s = g_new0 (mm_stream_server, 1);
  s->loop = loop;
  s->answer = answer;
  s->ctx = ctx;
  s->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stream_free);
  s->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)mm_group_table_destroy);
  ev_timer_init (&s->tick, tick_cb, MM_STREAM_SERVER_TICK_MS / 1000.,
                 MM_STREAM_SERVER_TICK_MS / 1000.);
  s->tick.data = s;
  ev_timer_start (loop, &s->tick);
  return s;
}

void
mm_stream_server_destroy (mm_stream_server *s)
{
  if (!s)
    return;
  ev_timer_stop (s->loop, &s->tick);
  for (GList *l = s->reads; l; l = l->next)
    g_free (((waiting_read *)l->data)->stream);
  g_list_free_full (s->reads, g_free);
  g_hash_table_destroy (s->streams);
  g_hash_table_destroy (s->groups);
  g_free (s);
}
