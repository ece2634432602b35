/* mm_store_http: one HTTP call a question to the store.  */
#include "mm_store_http.h"

struct mm_store_http
{
  mm_http_client *client;
  char *base; /* "http://ip:port" */
};

/**
 * mm_store_http_create() - calls to a store.
 * @client: makes the calls; must outlive this.
 * @addr: the store's "ip:port".
 *
 * Return: free with mm_store_http_destroy().
 */
mm_store_http *
mm_store_http_create (mm_http_client *client, const char *addr)
{
  mm_store_http *s = g_new0 (mm_store_http, 1);
  s->client = client;
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

void
mm_store_http_send (mm_store_http *s, const char *method, char *path,
                    cJSON *body, mm_time_ms timeout_ms, mm_http_done done,
                    const mm_store_call *call)
{
  mm_store_call *copy = g_new (mm_store_call, 1);
  *copy = *call;
  char *url = g_strconcat (s->base, path, NULL);
  char *text = body ? cJSON_PrintUnformatted (body) : NULL;
  mm_http_call http = {
    .method = method, .url = url, .body = text, .timeout_ms = timeout_ms
  };
  mm_http_client_send (s->client, &http, done, copy);
  cJSON_free (text);
  cJSON_Delete (body);
  g_free (url);
  g_free (path);
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

static char *
reason (bool ok, const mm_http_result *res)
{
  return ok ? NULL : mm_http_failure_text (res);
}

void
mm_store_tell_stream (mm_store_call *call, const mm_http_result *res,
                      mm_stream_result *r, GArray *items)
{
  char *why = reason (r->ok, res);
  r->why = why;
  r->items = (mm_stream_item *)(void *)items->data;
  r->n_items = items->len;
  call->stream_done (r, call->ctx);
  g_array_free (items, TRUE);
  g_free (why);
  g_free (call);
}

void
mm_store_tell_join (mm_store_call *call, const mm_http_result *res,
                    mm_join_result *r, GArray *parts)
{
  char *why = reason (r->ok, res);
  r->why = why;
  r->parts = (const uint32_t *)(void *)parts->data;
  r->n_parts = parts->len;
  call->join_done (r, call->ctx);
  g_array_free (parts, TRUE);
  g_free (why);
  g_free (call);
}

void
mm_store_tell_members (mm_store_call *call, const mm_http_result *res,
                       mm_members_result *r)
{
  char *why = reason (r->ok, res);
  r->why = why;
  call->members_done (r, call->ctx);
  g_free (why);
  g_free (call);
}
