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
      r.end = (uint64_t)number_of (body, "end", 0);
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
own_tail (void *ctx, const mm_tail *t, mm_stream_done done, void *done_ctx)
{
  mm_store_call p = {
    .kind = t->kind, .from = t->from, .stream_done = done, .ctx = done_ctx
  };
  char *path = g_strdup_printf (
      "/v1/streams/%s?from=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT
      "&max_bytes=%" G_GSIZE_FORMAT,
      stream_names[t->kind], t->from, t->wait_ms, t->max_bytes);
  mm_store_http_send (ctx, "GET", path, NULL, t->timeout_ms, on_stream, &p);
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

/* Rows [partition, member].  */
static GArray *
read_holders (const cJSON *list)
{
  GArray *holders = mm_store_holders_new ();
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    {
      const cJSON *part = cJSON_GetArrayItem (row, 0);
      const char *member = cJSON_GetStringValue (cJSON_GetArrayItem (row, 1));
      if (!cJSON_IsNumber (part) || !member)
        continue;
      mm_part_holder h = { .part = (uint32_t)part->valuedouble,
                           .member = g_strdup (member) };
      g_array_append_val (holders, h);
    }
  return holders;
}

static void
on_members (const mm_http_result *res, void *ctx)
{
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "holders");
  bool ok = mm_store_http_ok (res) && cJSON_IsArray (list);
  mm_store_tell_members (ctx, res, ok ? read_holders (list) : NULL);
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

/* ---- kept jobs -------------------------------------------------------- */

static void
on_append (const mm_http_result *res, void *ctx)
{
  mm_append_result r = { .verdict = MM_APPEND_NO_ANSWER };
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *expected = cJSON_GetObjectItemCaseSensitive (body, "expected");
  if (mm_store_http_ok (res))
    r.verdict = MM_APPEND_OK;
  else if (!res->error && res->status == 409)
    r.verdict
        = cJSON_IsNumber (expected) ? MM_APPEND_OUT_OF_SEQ : MM_APPEND_FENCED;
  else if (!res->error && res->status == 503)
    r.verdict = MM_APPEND_REFUSED;
  r.expected_seq = (uint64_t)number_of (body, "expected", 0);
  cJSON_Delete (body);
  mm_store_tell_append (ctx, res, &r);
}

static void
own_append (void *ctx, const mm_append *a, mm_append_done done, void *done_ctx)
{
  mm_store_call p = { .append_done = done, .ctx = done_ctx };
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddNumberToObject (b, "epoch", (double)a->epoch);
  cJSON_AddNumberToObject (b, "seq", (double)a->seq);
  cJSON *list = cJSON_AddArrayToObject (b, "records");
  for (size_t i = 0; i < a->n_records; i++)
    {
      const mm_record *rec = &a->records[i];
      cJSON *row = cJSON_CreateObject ();
      cJSON_AddStringToObject (row, "key", rec->key);
      if (rec->value)
        {
          gsize len;
          const guchar *data = g_bytes_get_data (rec->value, &len);
          char *text = g_base64_encode (data, len);
          cJSON_AddStringToObject (row, "value", text);
          g_free (text);
        }
      cJSON_AddItemToArray (list, row);
    }
  mm_store_http_send (ctx, "POST",
                      g_strdup_printf ("/v1/streams/jobs-%u/append", a->part),
                      b, a->timeout_ms, on_append, &p);
}

static void
on_job_records (const mm_http_result *res, void *ctx)
{
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "items");
  GArray *records = mm_store_records_new ();
  mm_records_result r
      = { .ok = mm_store_http_ok (res) && cJSON_IsArray (list) };
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    {
      const char *text = cJSON_GetStringValue (
          cJSON_GetObjectItemCaseSensitive (row, "value"));
      mm_record rec = { .key = text_of (row, "key") };
      if (!rec.key || !text)
        {
          mm_record_clear (&rec);
          continue;
        }
      gsize len = 0;
      guchar *raw = g_base64_decode (text, &len);
      rec.value = g_bytes_new_take (raw, len);
      g_array_append_val (records, rec);
    }
  r.after = cJSON_GetStringValue (
      cJSON_GetObjectItemCaseSensitive (body, "after"));
  mm_store_tell_records (ctx, res, &r, records);
  cJSON_Delete (body);
}

static void
own_records (void *ctx, uint32_t part, const char *after,
             mm_time_ms timeout_ms, mm_records_done done, void *done_ctx)
{
  mm_store_call p = { .records_done = done, .ctx = done_ctx };
  char *key = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  char *path = g_strdup_printf ("/v1/streams/jobs-%u/newest%s%s", part,
                                key ? "?after=" : "", key ? key : "");
  mm_store_http_send (ctx, "GET", path, NULL, timeout_ms, on_job_records, &p);
  g_free (key);
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
                          .append = own_append,
                          .records = own_records,
                          .ctx = s };
}
