/* mm_store_http: sends each call to the store as one HTTP call.

   Open connections can go silent all at once, while new ones work.  After a
   call that timed out, no connection that was open then is used again:
   otherwise each call after it could wait for its own timeout.  The reads of
   the configuration have a connection of their own, which is in use nearly all
   the time, so silence is noticed within the timeout of one read.  */
#include "mm_store_http.h"

#include "mm_metrics.h"

struct mm_store_http
{
  mm_http_client *client;
  mm_http_client *config_client; /* for the reads of the configuration */
  char *base;                    /* "http://ip:port" */
  /* When a call last timed out, 0: never.  */
  mm_time_ms timed_out_ms;
};

/**
 * mm_store_http_create() - create a client for the calls to a store.
 * @client: makes the calls; must outlive the returned object.
 * @config_client: makes the reads of the configuration, and no other calls;
 *                 must outlive the returned object.
 * @addr: the store's "ip:port"; copied.
 *
 * Return: the client; free with mm_store_http_destroy().
 */
mm_store_http *
mm_store_http_create (mm_http_client *client, mm_http_client *config_client,
                      const char *addr)
{
  mm_store_http *s = g_new0 (mm_store_http, 1);
  s->client = client;
  s->config_client = config_client;
  s->base = g_strdup_printf ("http://%s", addr);
  return s;
}

void
mm_store_http_destroy (mm_store_http *s)
{
  if (!s)
    return;
  g_free (s->base);
  g_free (s);
}

/* Passes on the result of a call.  */
static void
on_done (const mm_http_result *res, void *ctx)
{
  mm_store_call *call = ctx;
  if (g_error_matches (res->error, MM_ERROR, MM_ERROR_TIMEOUT))
    call->store->timed_out_ms = mm_clock_now_ms ();
  call->done (res, call);
}

/* Sends a call with the body of @body, whose other fields are not used.  @done
   receives a copy of @call.  Takes ownership of @path.  */
static void
send_call (mm_store_http *s, const char *method, char *path,
           const mm_http_call *body, mm_time_ms timeout_ms, mm_http_done done,
           const mm_store_call *call)
{
  mm_store_call *copy = g_new (mm_store_call, 1);
  *copy = *call;
  copy->store = s;
  copy->done = done;
  char *url = g_strconcat (s->base, path, NULL);
  mm_http_call http = *body;
  http.method = method;
  http.url = url;
  http.timeout_ms = timeout_ms;
  http.opened_since_ms = s->timed_out_ms;
  bool reads_config = call->stream_answered && call->kind == MM_STREAM_CONFIG;
  mm_http_client_send (reads_config ? s->config_client : s->client, &http,
                       on_done, copy);
  g_free (url);
  g_free (path);
}

void
mm_store_http_send (mm_store_http *s, const char *method, char *path,
                    cJSON *body, mm_time_ms timeout_ms, mm_http_done done,
                    const mm_store_call *call)
{
  char *text = body ? cJSON_PrintUnformatted (body) : NULL;
  mm_http_call http = { .body = text };
  send_call (s, method, path, &http, timeout_ms, done, call);
  cJSON_free (text);
  cJSON_Delete (body);
}

void
mm_store_http_send_bytes (mm_store_http *s, const char *method, char *path,
                          const GByteArray *body, mm_time_ms timeout_ms,
                          mm_http_done done, const mm_store_call *call)
{
  mm_http_call http
      = { .body = (const char *)body->data, .body_bytes = body->len };
  send_call (s, method, path, &http, timeout_ms, done, call);
}

bool
mm_store_http_ok (const mm_http_result *res)
{
  return !res->error && res->status == 200;
}

GArray *
mm_store_items_new (void)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (mm_stream_item));
  g_array_set_clear_func (items, mm_stream_item_clear);
  return items;
}

GArray *
mm_store_records_new (void)
{
  GArray *records = g_array_new (FALSE, TRUE, sizeof (mm_record));
  g_array_set_clear_func (records, mm_record_clear);
  return records;
}

static void
holder_clear (gpointer row)
{
  g_free ((char *)((mm_partition_holder *)row)->member);
}

GArray *
mm_store_holders_new (void)
{
  GArray *holders = g_array_new (FALSE, FALSE, sizeof (mm_partition_holder));
  g_array_set_clear_func (holders, holder_clear);
  return holders;
}

/* Returns why a call failed, free with g_free(), or NULL if @ok.  */
static char *
failure_reason (bool ok, const mm_http_result *res)
{
  return ok ? NULL : mm_http_failure_text (res);
}

void
mm_store_answer_stream (mm_store_call *call, const mm_http_result *res,
                        mm_stream_result *r, GArray *items)
{
  static const mm_counter_id bytes[]
      = { MM_CT_BYTES_CONFIG, MM_CT_BYTES_LIST };
  mm_metrics_add (bytes[call->kind], res->body_bytes);
  char *why = failure_reason (r->ok, res);
  r->why = why;
  r->items = (mm_stream_item *)(void *)items->data;
  r->n_items = items->len;
  call->stream_answered (r, call->ctx);
  g_array_free (items, TRUE);
  g_free (why);
  g_free (call);
}

void
mm_store_answer_join (mm_store_call *call, const mm_http_result *res,
                      mm_join_result *r, GArray *partitions)
{
  mm_metrics_add (MM_CT_BYTES_JOIN, res->body_bytes);
  /* The store answers 503 and 429 only to calls that it did not carry out.  */
  r->nothing_done
      = !r->ok && !res->error && (res->status == 503 || res->status == 429);
  char *why = failure_reason (r->ok, res);
  r->why = why;
  r->partitions = (const uint32_t *)(void *)partitions->data;
  r->n_partitions = partitions->len;
  call->join_answered (r, call->ctx);
  g_array_free (partitions, TRUE);
  g_free (why);
  g_free (call);
}

/* Returns each member name of @holders once, and sets @n to their number; free
   the array, not the names.  */
static char **
distinct_members (const GArray *holders, size_t *n)
{
  GHashTable *distinct = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < holders->len; i++)
    g_hash_table_add (
        distinct,
        (gpointer)g_array_index (holders, mm_partition_holder, i).member);
  guint count = 0;
  char **names = (char **)g_hash_table_get_keys_as_array (distinct, &count);
  g_hash_table_destroy (distinct);
  *n = count;
  return names;
}

void
mm_store_answer_members (mm_store_call *call, const mm_http_result *res,
                         GArray *holders)
{
  mm_members_result r = { .ok = holders != NULL };
  mm_metrics_add (MM_CT_BYTES_MEMBERS, res->body_bytes);
  char *why = failure_reason (r.ok, res);
  r.why = why;
  GArray *rows = holders ? holders : mm_store_holders_new ();
  char **names = distinct_members (rows, &r.n_members);
  r.members = (const char *const *)names;
  r.holders = (const mm_partition_holder *)(void *)rows->data;
  r.n_holders = rows->len;
  call->members_answered (&r, call->ctx);
  g_free (names);
  g_array_free (rows, TRUE);
  g_free (why);
  g_free (call);
}

void
mm_store_answer_append (mm_store_call *call, const mm_http_result *res,
                        mm_append_result *r)
{
  char *why = failure_reason (r->verdict == MM_APPEND_OK, res);
  r->why = why;
  call->append_answered (r, call->ctx);
  g_free (why);
  g_free (call);
}

void
mm_store_answer_records (mm_store_call *call, const mm_http_result *res,
                         mm_records_result *r, GArray *records)
{
  mm_metrics_add (MM_CT_BYTES_RECORDS, res->body_bytes);
  char *why = failure_reason (r->ok, res);
  r->why = why;
  r->records = (const mm_record *)(void *)records->data;
  r->n_records = records->len;
  call->records_answered (r, call->ctx);
  g_array_free (records, TRUE);
  g_free (why);
  g_free (call);
}
