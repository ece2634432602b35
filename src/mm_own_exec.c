/* mm_own_exec: orders to upstreams in our own interface.  */
#include "mm_own.h"
#include "mm_run_json.h"

#include <string.h>

typedef struct
{
  mm_call_done call_done;
  mm_hold_done hold_done;
  void *ctx;
} pending;

static mm_call_verdict
verdict_of (const mm_http_result *res, const cJSON *body)
{
  if (res->error || res->status == 0)
    return MM_CALL_NO_ANSWER;
  if (res->status == 200)
    return MM_CALL_OK;
  const char *name = cJSON_GetStringValue (
      cJSON_GetObjectItemCaseSensitive (body, "verdict"));
  for (int v = MM_CALL_OK + 1; name && v < MM_CALL_NO_ANSWER; v++)
    if (strcmp (name, mm_call_verdict_name ((mm_call_verdict)v)) == 0)
      return (mm_call_verdict)v;
  g_warning ("upstream answered with status %ld: %.100s", res->status,
             res->body);
  return MM_CALL_NO_ANSWER;
}

static mm_call_result
result_of (const mm_http_result *res, const cJSON *body)
{
  const cJSON *clock = cJSON_GetObjectItemCaseSensitive (body, "clock_ms");
  mm_call_result r = { .verdict = verdict_of (res, body), .clock_ms = -1 };
  if (cJSON_IsNumber (clock))
    r.clock_ms = (mm_time_ms)clock->valuedouble;
  return r;
}

static void
on_call (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  mm_call_result r = result_of (res, body);
  p->call_done (&r, p->ctx);
  cJSON_Delete (body);
  g_free (p);
}

static void
on_hold (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  mm_hold_result r = { .call = result_of (res, body) };
  if (r.call.verdict == MM_CALL_OK && !mm_run_json_read_lists (body, &r))
    {
      g_warning ("upstream's lists not understood: %.100s", res->body);
      r.call.verdict = MM_CALL_NO_ANSWER;
    }
  p->hold_done (&r, p->ctx);
  g_free ((void *)r.running);
  g_free ((void *)r.ended);
  cJSON_Delete (body);
  g_free (p);
}

static void
post (mm_http_client *client, const mm_upstream_info *u, const char *path,
      cJSON *body, bool fresh, mm_time_ms timeout_ms, mm_http_done done,
      const pending *p)
{
  pending *copy = g_new (pending, 1);
  *copy = *p;
  char *text = cJSON_PrintUnformatted (body);
  char *url = g_strdup_printf ("http://%s%s", u->addr, path);
  char *target = g_strdup_printf ("X-Masticmill-Upstream: %s", u->name);
  mm_http_call call = { .method = "POST",
                        .url = url,
                        .body = text,
                        .header = target,
                        .fresh = fresh,
                        .timeout_ms = timeout_ms };
  mm_http_client_send (client, &call, done, copy);
  g_free (target);
  g_free (url);
  free (text);
  cJSON_Delete (body);
}

static void
own_start (void *ctx, const mm_upstream_info *u, const mm_order *o,
           mm_call_done done, void *done_ctx)
{
  pending p = { .call_done = done, .ctx = done_ctx };
  post (ctx, u, "/v1/runs", mm_run_json_order (o), o->fresh, o->timeout_ms,
        on_call, &p);
}

static void
own_stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
          mm_call_done done, void *done_ctx)
{
  pending p = { .call_done = done, .ctx = done_ctx };
  post (ctx, u, "/v1/runs/stop", mm_run_json_order (o), o->fresh,
        o->timeout_ms, on_call, &p);
}

static void
own_hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
          mm_hold_done done, void *done_ctx)
{
  pending p = { .hold_done = done, .ctx = done_ctx };
  post (ctx, u, "/v1/hold", mm_run_json_hold (h), h->fresh, h->timeout_ms,
        on_hold, &p);
}

/**
 * mm_own_exec_port() - how sessions reach stand-in upstreams.
 * @client: makes the calls; must outlive the port.
 */
mm_exec_port
mm_own_exec_port (mm_http_client *client)
{
  return (mm_exec_port){
    .start = own_start, .stop = own_stop, .hold = own_hold, .ctx = client
  };
}
