/* mm_exec_http: one HTTP call an order or hold.  */
#include "mm_exec_http.h"

#include "config.h"

struct mm_exec_http
{
  mm_http_client *client;
  const mm_exec_wire *wire;
};

typedef struct
{
  const mm_exec_wire *wire;
  mm_call_done call_done;
  mm_hold_done hold_done;
  void *ctx;
} pending;

static mm_call_verdict
verdict_of (const mm_exec_wire *wire, const mm_http_result *res,
            const cJSON *body)
{
  if (res->error || res->status == 0)
    return MM_CALL_NO_ANSWER;
  if (res->status == 200)
    return MM_CALL_OK;
  mm_call_verdict v = wire->verdict (res->status, body);
  if (v == MM_CALL_NO_ANSWER)
    g_warning ("upstream answered with status %ld, which is none of its "
               "answers: whether it was done is open",
               res->status);
  return v;
}

static mm_call_result
result_of (const mm_exec_wire *wire, const mm_http_result *res,
           const cJSON *body)
{
  const cJSON *clock
      = cJSON_GetObjectItemCaseSensitive (body, wire->clock_field);
  mm_call_result r = { .verdict = verdict_of (wire, res, body),
                       .clock_ms = -1,
                       .open = res->open,
                       .late = res->late };
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
  mm_running *up = g_new0 (mm_running, cJSON_GetArraySize (running) + 1);
  mm_ended *over = g_new0 (mm_ended, cJSON_GetArraySize (ended) + 1);
  out->running = up;
  out->ended = over;
  const cJSON *row;
  cJSON_ArrayForEach (row, running)
    if (!wire->read_running (row, &up[out->n_running++]))
      return false;
  cJSON_ArrayForEach (row, ended)
    if (!wire->read_ended (row, &over[out->n_ended++]))
      return false;
  out->more_ended = wire->max_ended && out->n_ended >= wire->max_ended;
  return true;
}

static void
on_call (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  mm_call_result r = result_of (p->wire, res, body);
  p->call_done (&r, p->ctx);
  cJSON_Delete (body);
  if (!r.open)
    g_free (p);
}

static void
on_hold (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  mm_hold_result r = { .call = result_of (p->wire, res, body) };
  if (r.call.verdict == MM_CALL_OK
      && !mm_exec_wire_read_lists (p->wire, body, &r))
    {
      g_warning ("upstream's lists of runs not understood: %.200s", res->body);
      r.call.verdict = MM_CALL_NO_ANSWER;
    }
  p->hold_done (&r, p->ctx);
  g_free ((void *)r.running);
  g_free ((void *)r.ended);
  cJSON_Delete (body);
  if (!r.call.open)
    g_free (p);
}

static void
post (const mm_exec_http *x, const mm_upstream_info *u, const char *path,
      cJSON *body, bool fresh, mm_time_ms timeout_ms, mm_http_done done,
      const pending *p)
{
  pending *copy = g_new (pending, 1);
  *copy = *p;
  copy->wire = x->wire;
  char *text = cJSON_PrintUnformatted (body);
  char *url = g_strdup_printf ("http://%s%s", u->addr, path);
  /* The address may belong to another incarnation by now.  */
  char *target = g_strdup_printf ("%s: %s", x->wire->upstream_header, u->name);
  mm_http_call call = { .method = "POST",
                        .url = url,
                        .body = text,
                        .header = target,
                        .fresh = fresh,
                        .timeout_ms = timeout_ms,
                        .late_ms = MM_CALL_LATE_MS };
  mm_http_client_send (x->client, &call, done, copy);
  g_free (target);
  g_free (url);
  cJSON_free (text);
  cJSON_Delete (body);
}

static void
start (void *ctx, const mm_upstream_info *u, const mm_order *o,
       mm_call_done done, void *done_ctx)
{
  const mm_exec_http *x = ctx;
  pending p = { .call_done = done, .ctx = done_ctx };
  post (x, u, x->wire->start_path, x->wire->order_body (o), o->fresh,
        o->timeout_ms, on_call, &p);
}

static void
stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
      mm_call_done done, void *done_ctx)
{
  const mm_exec_http *x = ctx;
  pending p = { .call_done = done, .ctx = done_ctx };
  post (x, u, x->wire->stop_path, x->wire->order_body (o), o->fresh,
        o->timeout_ms, on_call, &p);
}

static void
hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
      mm_hold_done done, void *done_ctx)
{
  const mm_exec_http *x = ctx;
  pending p = { .hold_done = done, .ctx = done_ctx };
  post (x, u, x->wire->hold_path, x->wire->hold_body (h), h->fresh,
        h->timeout_ms, on_hold, &p);
}

/**
 * mm_exec_http_create() - calls to upstreams of one interface.
 * @client: makes the calls; must outlive this.
 * @wire: the interface's names and forms; must outlive this.
 *
 * Return: free with mm_exec_http_destroy().
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
