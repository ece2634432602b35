/* mm_own_store: calls to the store in our own interface.  */
#include "mm_own.h"

#include <string.h>

static const char *const stream_names[]
    = { [MM_STREAM_CONFIG] = "config", [MM_STREAM_UPSTREAMS] = "upstreams" };

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
on_stream (const mm_http_result *res, void *ctx)
{
  mm_store_call *c = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "items");
  GArray *items = mm_store_items_new ();
  mm_stream_result r = { .ok = mm_store_http_ok (res) && cJSON_IsArray (list),
                         .history_lost = !res->error && res->status == 410,
                         .next = c->from };
  if (r.ok)
    {
      read_items (list, c->kind, items);
      r.next = (uint64_t)number_of (body, "next", 0);
      r.after = cJSON_GetStringValue (
          cJSON_GetObjectItemCaseSensitive (body, "after"));
    }
  mm_store_tell_stream (c, res, &r, items);
  cJSON_Delete (body);
}

static void
own_newest (void *ctx, mm_stream_kind kind, const char *after,
            mm_time_ms timeout_ms, mm_stream_done done, void *done_ctx)
{
  mm_store_call p = { .kind = kind, .stream_done = done, .ctx = done_ctx };
  char *key = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  char *path
      = g_strdup_printf ("/v1/streams/%s/newest%s%s", stream_names[kind],
                         key ? "?after=" : "", key ? key : "");
  mm_store_http_send (ctx, "GET", path, NULL, timeout_ms, on_stream, &p);
  g_free (key);
}

static void
own_tail (void *ctx, mm_stream_kind kind, uint64_t from, mm_time_ms wait_ms,
          mm_time_ms timeout_ms, mm_stream_done done, void *done_ctx)
{
  mm_store_call p
      = { .kind = kind, .from = from, .stream_done = done, .ctx = done_ctx };
  char *path = g_strdup_printf ("/v1/streams/%s?from=%" G_GUINT64_FORMAT
                                "&wait_ms=%" G_GINT64_FORMAT,
                                stream_names[kind], from, wait_ms);
  mm_store_http_send (ctx, "GET", path, NULL, timeout_ms, on_stream, &p);
}

static void
on_join (const mm_http_result *res, void *ctx)
{
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "parts");
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  mm_join_result r
      = { .ok = mm_store_http_ok (res) && cJSON_IsArray (list),
          .generation = (uint64_t)number_of (body, "generation", 0) };
  const cJSON *part;
  cJSON_ArrayForEach (part, list)
    {
      uint32_t no = (uint32_t)part->valuedouble;
      g_array_append_val (parts, no);
    }
  mm_store_tell_join (ctx, res, &r, parts);
  cJSON_Delete (body);
}

static void
own_join (void *ctx, const char *group, const char *member,
          uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
          mm_join_done done, void *done_ctx)
{
  mm_store_call p = { .join_done = done, .ctx = done_ctx };
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddStringToObject (b, "member", member);
  cJSON_AddNumberToObject (b, "generation", (double)generation);
  cJSON_AddNumberToObject (b, "ttl_ms", (double)ttl_ms);
  mm_store_http_send (ctx, "POST",
                      g_strdup_printf ("/v1/groups/%s/join", group), b,
                      timeout_ms, on_join, &p);
}

static void
own_leave (void *ctx, const char *group, const char *member,
           mm_time_ms timeout_ms, mm_join_done done, void *done_ctx)
{
  mm_store_call p = { .join_done = done, .ctx = done_ctx };
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddStringToObject (b, "member", member);
  mm_store_http_send (ctx, "POST",
                      g_strdup_printf ("/v1/groups/%s/leave", group), b,
                      timeout_ms, on_join, &p);
}

static void
on_members (const mm_http_result *res, void *ctx)
{
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "members");
  GPtrArray *names = g_ptr_array_new ();
  const cJSON *m;
  cJSON_ArrayForEach (m, list)
    if (cJSON_IsString (m))
      g_ptr_array_add (names, m->valuestring);
  mm_members_result r = { .ok = mm_store_http_ok (res) && cJSON_IsArray (list),
                          .members = (const char *const *)names->pdata,
                          .n_members = names->len };
  mm_store_tell_members (ctx, res, &r);
  g_ptr_array_free (names, TRUE);
  cJSON_Delete (body);
}

static void
own_members (void *ctx, const char *group, mm_time_ms timeout_ms,
             mm_members_done done, void *done_ctx)
{
  mm_store_call p = { .members_done = done, .ctx = done_ctx };
  mm_store_http_send (ctx, "GET", g_strdup_printf ("/v1/groups/%s", group),
                      NULL, timeout_ms, on_members, &p);
}

/**
 * mm_own_store_port() - the stand-in's store as the core sees it.
 * @s: must outlive the port.
 */
mm_store_port
mm_own_store_port (mm_store_http *s)
{
  return (mm_store_port){ .newest = own_newest,
                          .tail = own_tail,
                          .join = own_join,
                          .leave = own_leave,
                          .members = own_members,
                          .ctx = s };
}
