/* mm_exec_http: sends each order and each hold as one HTTP call.  */
#include "mm_exec_http.h"

#include "config.h"

struct mm_exec_http
{
  mm_http_client *client;
  const mm_exec_wire *wire;
};

/* A call whose final answer has not come yet.  */
typedef struct
{
  const mm_exec_wire *wire;
  mm_call_done call_done; /* of a start or stop, else NULL */
  mm_hold_done hold_done; /* of a hold, else NULL */
  void *ctx;              /* for the callback */
} pending_call;

/* Returns what an answer, or the lack of one, says about the call.  An answer
   that the interface does not define says nothing.  */
static mm_call_verdict
read_verdict (const mm_exec_wire *wire, const mm_http_result *res,
              const cJSON *body)
{
  if (res->error || res->status == 0)
    return res->sent ? MM_CALL_NO_ANSWER : MM_CALL_NOT_SENT;
  if (res->status == 200)
    return MM_CALL_OK;
  mm_call_verdict v = wire->verdict (res->status, body);
  if (v == MM_CALL_NO_ANSWER)
    g_warning ("unexpected status %ld from upstream: whether the call was "
               "carried out is unknown",
               res->status);
  return v;
}

static mm_call_result
read_result (const mm_exec_wire *wire, const mm_http_result *res,
             const cJSON *body)
{
  const cJSON *clock
      = cJSON_GetObjectItemCaseSensitive (body, wire->clock_field);
  const cJSON *reason
      = cJSON_GetObjectItemCaseSensitive (body, wire->reason_field);
  mm_call_result r = { .verdict = read_verdict (wire, res, body),
                       .reason = cJSON_GetStringValue (reason),
                       .clock_ms = -1,
                       .overdue = res->overdue,
                       .was_overdue = res->was_overdue,
                       .unsent_ms = res->unsent_ms,
                       .overrun_ms = res->overrun_ms };
  if (cJSON_IsNumber (clock))
    r.clock_ms = (mm_time_ms)clock->valuedouble;
  return r;
}

bool
mm_exec_wire_read_lists (const mm_exec_wire *wire, const cJSON *body,
                         mm_hold_result *out)
{
  const cJSON *running
      = cJSON_GetObjectItemCaseSensitive (body, wire->running_field);
  const cJSON *ended
      = cJSON_GetObjectItemCaseSensitive (body, wire->ended_field);
  if ((running && !cJSON_IsArray (running))
      || (ended && !cJSON_IsArray (ended)))
    return false;
  mm_listed_run *running_rows
      = g_new0 (mm_listed_run, cJSON_GetArraySize (running) + 1);
  mm_listed_end *ended_rows
      = g_new0 (mm_listed_end, cJSON_GetArraySize (ended) + 1);
  out->running = running_rows;
  out->ended = ended_rows;
  const cJSON *row;
  cJSON_ArrayForEach (row, running)
    if (!wire->read_running (row, &running_rows[out->n_running++]))
      return false;
  cJSON_ArrayForEach (row, ended)
    if (!wire->read_ended (row, &ended_rows[out->n_ended++]))
      return false;
  out->more_ended = wire->max_ended && out->n_ended >= wire->max_ended;
  const cJSON *born
      = cJSON_GetObjectItemCaseSensitive (body, wire->born_field);
  if (cJSON_IsNumber (born))
    out->born_ms = (int64_t)born->valuedouble;
  return true;
}

static void
on_call (const mm_http_result *res, void *ctx)
{
  pending_call *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  mm_call_result r = read_result (p->wire, res, body);
  p->call_done (&r, p->ctx);
  cJSON_Delete (body);
  if (!r.overdue)
    g_free (p);
}

/* Handles the answer to a hold.  An answer with an invalid list counts as
   none.  */
static void
on_hold (const mm_http_result *res, void *ctx)
{
  pending_call *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  mm_hold_result r = { .call = read_result (p->wire, res, body) };
  if (r.call.verdict == MM_CALL_OK
      && !mm_exec_wire_read_lists (p->wire, body, &r))
    {
      g_warning ("invalid list of runs from upstream: %.200s", res->body);
      r.call.verdict = MM_CALL_NO_ANSWER;
    }
  p->hold_done (&r, p->ctx);
  g_free ((void *)r.running);
  g_free ((void *)r.ended);
  cJSON_Delete (body);
  if (!r.call.overdue)
    g_free (p);
}

/* Sends a call to an upstream.  Takes ownership of @body; @p is copied, and
   its field wire need not be set.  */
static void
post (const mm_exec_http *x, const mm_upstream_info *u, const char *path,
      cJSON *body, bool new_connection, mm_time_ms timeout_ms,
      mm_http_done done, const pending_call *p)
{
  pending_call *call_state = g_new (pending_call, 1);
  *call_state = *p;
  call_state->wire = x->wire;
  char *text = cJSON_PrintUnformatted (body);
  char *url = g_strdup_printf ("http://%s%s", u->addr, path);
  /* The header names the incarnation that is called, because another one may
     have the address by now.  */
  char *header_line
      = g_strdup_printf ("%s: %s", x->wire->upstream_header, u->name);
  mm_http_call call = { .method = "POST",
                        .url = url,
                        .body = text,
                        .header = header_line,
                        .new_connection = new_connection,
                        .timeout_ms = timeout_ms,
                        .keep_overdue_ms = MM_LATE_ANSWER_MS };
  mm_http_client_send (x->client, &call, done, call_state);
  g_free (header_line);
  g_free (url);
  cJSON_free (text);
  cJSON_Delete (body);
}

static void
start (void *ctx, const mm_upstream_info *u, const mm_order *o,
       mm_call_done done, void *done_ctx)
{
  const mm_exec_http *x = ctx;
  pending_call p = { .call_done = done, .ctx = done_ctx };
  post (x, u, x->wire->start_path, x->wire->order_body (o), o->new_connection,
        o->timeout_ms, on_call, &p);
}

static void
stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
      mm_call_done done, void *done_ctx)
{
  const mm_exec_http *x = ctx;
  pending_call p = { .call_done = done, .ctx = done_ctx };
  post (x, u, x->wire->stop_path, x->wire->order_body (o), o->new_connection,
        o->timeout_ms, on_call, &p);
}

static void
hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
      mm_hold_done done, void *done_ctx)
{
  const mm_exec_http *x = ctx;
  pending_call p = { .hold_done = done, .ctx = done_ctx };
  post (x, u, x->wire->hold_path, x->wire->hold_body (h), h->new_connection,
        h->timeout_ms, on_hold, &p);
}

/**
 * mm_exec_http_create() - create a caller of upstreams with one interface.
 * @client: sends the calls; must outlive the returned object.
 * @wire: encoding of the interface; must outlive the returned object.
 *
 * Return: the object; free with mm_exec_http_destroy().
 */
mm_exec_http *
mm_exec_http_create (mm_http_client *client, const mm_exec_wire *wire)
{
  mm_exec_http *x = g_new0 (mm_exec_http, 1);
  x->client = client;
  x->wire = wire;
  return x;
}

void
mm_exec_http_destroy (mm_exec_http *x)
{
  g_free (x);
}

mm_exec_port
mm_exec_http_port (mm_exec_http *x)
{
  return (
      mm_exec_port){ .start = start, .stop = stop, .hold = hold, .ctx = x };
}
