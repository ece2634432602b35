/* mm_own_store: calls to the store in our own interface.  */
#include "mm_own.h"

#include <cJSON.h>
#include <string.h>

struct mm_own_store
{
  mm_http_client *client;
  char *base; /* "http://ip:port" */
};

typedef struct
{
  mm_stream_kind kind;
  uint64_t from;
  mm_stream_done stream_done;
  mm_join_done join_done;
  mm_members_done members_done;
  void *ctx;
} pending;

static const char *const stream_names[]
    = { [MM_STREAM_CONFIG] = "config", [MM_STREAM_UPSTREAMS] = "upstreams" };

mm_own_store *
mm_own_store_create (mm_http_client *client, const char *addr)
{
  mm_own_store *s = g_new0 (mm_own_store, 1);
  s->client = client;
  s->base = g_strdup_printf ("http://%s/v1", addr);
  return s;
}

void
mm_own_store_destroy (mm_own_store *s)
{
  if (!s)
    return;
  g_free (s->base);
  g_free (s);
}

/* ---- values ----------------------------------------------------------- */

static char *
text_of (const cJSON *o, const char *name)
{
  return g_strdup (
      cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (o, name)));
}

static double
number_of (const cJSON *o, const char *name, double def)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (o, name);
  return cJSON_IsNumber (f) ? f->valuedouble : def;
}

static mm_upstream_info *
read_upstream (const char *name, const cJSON *o)
{
  mm_upstream_info *u = g_new0 (mm_upstream_info, 1);
  u->name = g_strdup (name);
  u->addr = text_of (o, "address");
  u->service = text_of (o, "service");
  u->datacentre = text_of (o, "datacentre");
  u->capacity.cpu_milli = (int64_t)number_of (o, "cpu_milli", 0);
  u->capacity.mem_mb = (int64_t)number_of (o, "mem_mb", 0);
  u->slots = (int64_t)number_of (o, "slots", 0);
  u->draining
      = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (o, "draining"));
  if (u->addr && u->service && u->datacentre)
    return u;
  g_warning ("store: upstream %s passed over: a field is missing", name);
  mm_upstream_info_free (u);
  return NULL;
}

static mm_routes *
read_config (const cJSON *o)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (o, "queues");
  mm_routes *r = mm_routes_new ();
  r->version = (uint64_t)number_of (o, "version", 0);
  r->routes = g_new0 (mm_route, (size_t)cJSON_GetArraySize (list) + 1);
  const cJSON *q;
  cJSON_ArrayForEach (q, list)
    {
      mm_route *m = &r->routes[r->n++];
      m->name = text_of (q, "name");
      m->host = text_of (q, "host");
      m->prefix = text_of (q, "prefix");
      m->service = text_of (q, "service");
      m->priority = (uint32_t)number_of (q, "priority", 0);
      m->attempts = (uint32_t)number_of (q, "attempts", 1);
      m->stretch = number_of (q, "stretch", 1);
      m->slo_ms = (mm_time_ms)number_of (q, "slo_ms", 0);
      m->config_version = r->version;
      if (m->name && m->service)
        continue;
      g_warning ("store: configuration passed over: a queue has no name or "
                 "service");
      mm_routes_unref (r);
      return NULL;
    }
  return r;
}

static void
read_items (const cJSON *list, mm_stream_kind kind, GArray *items)
{
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    {
      const cJSON *value = cJSON_GetObjectItemCaseSensitive (row, "value");
      mm_stream_item i = { .key = text_of (row, "key") };
      if (i.key && value && kind == MM_STREAM_CONFIG)
        i.routes = read_config (value);
      else if (i.key && value)
        i.upstream = read_upstream (i.key, value);
      bool readable = i.key && (!value || i.routes || i.upstream);
      if (readable)
        g_array_append_val (items, i);
      else
        mm_stream_item_clear (&i);
    }
}

/* ---- calls ------------------------------------------------------------ */

static void
send_call (mm_own_store *s, const char *method, char *path, cJSON *body,
           mm_time_ms timeout_ms, mm_http_done done, const pending *p)
{
  pending *copy = g_new (pending, 1);
  *copy = *p;
  char *url = g_strconcat (s->base, path, NULL);
  char *text = body ? cJSON_PrintUnformatted (body) : NULL;
  mm_http_call call = {
    .method = method, .url = url, .body = text, .timeout_ms = timeout_ms
  };
  mm_http_client_send (s->client, &call, done, copy);
  free (text);
  cJSON_Delete (body);
  g_free (url);
  g_free (path);
}

static void
on_stream (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "items");
  GArray *items = g_array_new (FALSE, FALSE, sizeof (mm_stream_item));
  g_array_set_clear_func (items, mm_stream_item_clear);
  char *why = mm_http_failure_text (res);
  mm_stream_result r
      = { .why = why,
          .ok = !res->error && res->status == 200 && cJSON_IsArray (list),
          .history_lost = !res->error && res->status == 410,
          .next = p->from };
  if (r.ok)
    {
      read_items (list, p->kind, items);
      r.next = (uint64_t)number_of (body, "next", 0);
      r.after = cJSON_GetStringValue (
          cJSON_GetObjectItemCaseSensitive (body, "after"));
    }
  r.items = (mm_stream_item *)(void *)items->data;
  r.n_items = items->len;
  p->stream_done (&r, p->ctx);
  g_array_free (items, TRUE);
  g_free (why);
  cJSON_Delete (body);
  g_free (p);
}

static void
own_newest (void *ctx, mm_stream_kind kind, const char *after,
            mm_time_ms timeout_ms, mm_stream_done done, void *done_ctx)
{
  pending p = { .kind = kind, .stream_done = done, .ctx = done_ctx };
  char *key = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  char *path = g_strdup_printf ("/streams/%s/newest%s%s", stream_names[kind],
                                key ? "?after=" : "", key ? key : "");
  send_call (ctx, "GET", path, NULL, timeout_ms, on_stream, &p);
  g_free (key);
}

static void
own_tail (void *ctx, mm_stream_kind kind, uint64_t from, mm_time_ms wait_ms,
          mm_time_ms timeout_ms, mm_stream_done done, void *done_ctx)
{
  pending p
      = { .kind = kind, .from = from, .stream_done = done, .ctx = done_ctx };
  char *path = g_strdup_printf ("/streams/%s?from=%" G_GUINT64_FORMAT
                                "&wait_ms=%" G_GINT64_FORMAT,
                                stream_names[kind], from, wait_ms);
  send_call (ctx, "GET", path, NULL, timeout_ms, on_stream, &p);
}

static void
on_join (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "parts");
  uint32_t *parts = g_new0 (uint32_t, (size_t)cJSON_GetArraySize (list) + 1);
  char *why = mm_http_failure_text (res);
  mm_join_result r
      = { .why = why,
          .ok = !res->error && res->status == 200 && cJSON_IsArray (list),
          .parts = parts };
  r.generation = (uint64_t)number_of (body, "generation", 0);
  const cJSON *part;
  cJSON_ArrayForEach (part, list)
    parts[r.n_parts++] = (uint32_t)part->valuedouble;
  p->join_done (&r, p->ctx);
  g_free (parts);
  g_free (why);
  cJSON_Delete (body);
  g_free (p);
}

static void
own_join (void *ctx, const char *group, const char *member,
          uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
          mm_join_done done, void *done_ctx)
{
  pending p = { .join_done = done, .ctx = done_ctx };
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddStringToObject (b, "member", member);
  cJSON_AddNumberToObject (b, "generation", (double)generation);
  cJSON_AddNumberToObject (b, "ttl_ms", (double)ttl_ms);
  send_call (ctx, "POST", g_strdup_printf ("/groups/%s/join", group), b,
             timeout_ms, on_join, &p);
}

static void
own_leave (void *ctx, const char *group, const char *member,
           mm_time_ms timeout_ms, mm_join_done done, void *done_ctx)
{
  pending p = { .join_done = done, .ctx = done_ctx };
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddStringToObject (b, "member", member);
  send_call (ctx, "POST", g_strdup_printf ("/groups/%s/leave", group), b,
             timeout_ms, on_join, &p);
}

static void
on_members (const mm_http_result *res, void *ctx)
{
  pending *p = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "members");
  GPtrArray *names = g_ptr_array_new ();
  const cJSON *m;
  cJSON_ArrayForEach (m, list)
    if (cJSON_IsString (m))
      g_ptr_array_add (names, m->valuestring);
  char *why = mm_http_failure_text (res);
  mm_members_result r
      = { .why = why,
          .ok = !res->error && res->status == 200 && cJSON_IsArray (list),
          .members = (const char *const *)names->pdata,
          .n_members = names->len };
  p->members_done (&r, p->ctx);
  g_ptr_array_free (names, TRUE);
  g_free (why);
  cJSON_Delete (body);
  g_free (p);
}

static void
own_members (void *ctx, const char *group, mm_time_ms timeout_ms,
             mm_members_done done, void *done_ctx)
{
  pending p = { .members_done = done, .ctx = done_ctx };
  send_call (ctx, "GET", g_strdup_printf ("/groups/%s", group), NULL,
             timeout_ms, on_members, &p);
}

/**
 * mm_own_store_port() - the stand-in's store as the core sees it.
 * @s: must outlive the port.
 */
mm_store_port
mm_own_store_port (mm_own_store *s)
{
  return (mm_store_port){ .newest = own_newest,
                          .tail = own_tail,
                          .join = own_join,
                          .leave = own_leave,
                          .members = own_members,
                          .ctx = s };
}
