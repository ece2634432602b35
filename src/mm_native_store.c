/* mm_native_store: calls to the store in the native protocol.  */
#include "mm_native.h"

#include <string.h>

static const char *const stream_names[]
    = { [MM_STREAM_CONFIG] = "config", [MM_STREAM_UPSTREAMS] = "upstreams" };

/* ---- values ----------------------------------------------------------- */

/* Returns a copy of a field of @o, free with g_free(), or NULL if it is
   missing or not a string.  */
static char *
string_field (const cJSON *o, const char *name)
{
  return g_strdup (
      cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (o, name)));
}

/* Returns a field of @o, or @fallback if it is missing or not a number.  */
static double
number_field (const cJSON *o, const char *name, double fallback)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (o, name);
  return cJSON_IsNumber (f) ? f->valuedouble : fallback;
}

/* Returns the strings in a field of @o that is an array; free with
   g_strfreev().  */
static char **
strings_field (const cJSON *o, const char *name)
{
  GPtrArray *strings = g_ptr_array_new ();
  const cJSON *item;
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (o, name))
    if (cJSON_IsString (item))
      g_ptr_array_add (strings, g_strdup (item->valuestring));
  g_ptr_array_add (strings, NULL);
  return (char **)g_ptr_array_free (strings, FALSE);
}

/* Reads the list entry of an upstream.  Returns NULL if a field is missing or
   invalid.  */
static mm_upstream_info *
read_upstream (const char *name, const cJSON *o)
{
  mm_upstream_info *u = g_new0 (mm_upstream_info, 1);
  u->name = g_strdup (name);
  u->addr = string_field (o, "address");
  u->service = string_field (o, "service");
  u->datacentre = string_field (o, "datacentre");
  u->labels = strings_field (o, "labels");
  u->capacity.cpu_milli = (int64_t)number_field (o, "cpu_milli", 0);
  u->capacity.mem_mb = (int64_t)number_field (o, "mem_mb", 0);
  u->slots = (int64_t)number_field (o, "slots", 0);
  u->draining
      = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (o, "draining"));
  const char *field = mm_upstream_info_invalid_field (u);
  if (!field)
    return u;
  g_warning ("store: record of upstream %s ignored: %s is missing or invalid",
             name, field);
  mm_upstream_info_free (u);
  return NULL;
}

/* Reads a configuration.  Returns NULL if a queue has no name or service.  */
static mm_routes *
read_config (const cJSON *o)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (o, "queues");
  mm_routes *r = mm_routes_new ();
  r->version = (uint64_t)number_field (o, "version", 0);
  r->routes = g_new0 (mm_route, (size_t)cJSON_GetArraySize (list) + 1);
  const cJSON *q;
  cJSON_ArrayForEach (q, list)
    {
      mm_route *m = &r->routes[r->n_routes++];
      m->name = string_field (q, "name");
      m->host = string_field (q, "host");
      m->prefix = string_field (q, "prefix");
      m->service = string_field (q, "service");
      m->priority = (uint32_t)number_field (q, "priority", 0);
      m->attempts = (uint32_t)number_field (q, "attempts", 1);
      m->stretch = number_field (q, "stretch", 1);
      m->slo_ms = (mm_time_ms)number_field (q, "slo_ms", 0);
      m->config_version = r->version;
      if (m->name && m->service)
        continue;
      g_warning (
          "store: configuration ignored: a queue has no name or service");
      mm_routes_unref (r);
      return NULL;
    }
  return r;
}

/* Decodes a record of the configuration stream into @item.  */
static void
read_config_item (const cJSON *value, mm_stream_item *item)
{
  if (!g_str_has_prefix (item->key, MM_NATIVE_EVACUATE_PREFIX))
    item->routes = read_config (value);
  else if (cJSON_IsObject (value))
    item->evacuated
        = g_strdup (item->key + strlen (MM_NATIVE_EVACUATE_PREFIX));
  else
    item->unreadable = true;
}

/* Appends the records in @list to @items; leaves out malformed ones.  A record
   without a value drops its key.  */
static void
read_items (const cJSON *list, mm_stream_kind kind, GArray *items)
{
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    {
      const cJSON *value = cJSON_GetObjectItemCaseSensitive (row, "value");
      mm_stream_item item = { .key = string_field (row, "key") };
      if (item.key && value && kind == MM_STREAM_CONFIG)
        read_config_item (value, &item);
      else if (item.key && value)
        item.upstream = read_upstream (item.key, value);
      bool usable = item.key
                    && (!value || item.routes || item.evacuated
                        || item.upstream || item.unreadable);
      if (usable)
        g_array_append_val (items, item);
      else
        mm_stream_item_clear (&item);
    }
}

/* ---- calls ------------------------------------------------------------ */

/* Handles the answer to a read of a stream.  Status 410: the records at the
   requested offset were dropped.  */
static void
on_stream (const mm_http_result *res, void *ctx)
{
  mm_store_call *c = ctx;
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "items");
  GArray *items = mm_store_items_new ();
  mm_stream_result r = { .ok = mm_store_http_ok (res) && cJSON_IsArray (list),
                         .history_dropped = !res->error && res->status == 410,
                         .next_offset = c->from_offset };
  if (r.ok)
    {
      read_items (list, c->kind, items);
      r.next_offset = (uint64_t)number_field (body, "next", 0);
      r.end_offset = (uint64_t)number_field (body, "end", 0);
      r.after = cJSON_GetStringValue (
          cJSON_GetObjectItemCaseSensitive (body, "after"));
    }
  mm_store_answer_stream (c, res, &r, items);
  cJSON_Delete (body);
}

static void
native_newest (void *ctx, mm_stream_kind kind, const char *after,
               mm_time_ms timeout_ms, mm_stream_answered answered,
               void *answered_ctx)
{
  mm_store_call call
      = { .kind = kind, .stream_answered = answered, .ctx = answered_ctx };
  char *key = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  char *path
      = g_strdup_printf ("/v1/streams/%s/newest%s%s", stream_names[kind],
                         key ? "?after=" : "", key ? key : "");
  mm_store_http_send (ctx, "GET", path, NULL, timeout_ms, on_stream, &call);
  g_free (key);
}

static void
native_tail (void *ctx, const mm_tail_request *t, mm_stream_answered answered,
             void *answered_ctx)
{
  mm_store_call call = { .kind = t->kind,
                         .from_offset = t->from_offset,
                         .stream_answered = answered,
                         .ctx = answered_ctx };
  char *path = g_strdup_printf (
      "/v1/streams/%s?from=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT
      "&max_bytes=%" G_GSIZE_FORMAT,
      stream_names[t->kind], t->from_offset, t->wait_ms, t->max_bytes);
  mm_store_http_send (ctx, "GET", path, NULL, t->timeout_ms, on_stream, &call);
}

/* Handles the answer to joining or leaving a group.  */
static void
on_join (const mm_http_result *res, void *ctx)
{
  cJSON *body = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (body, "parts");
  GArray *partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  mm_join_result r
      = { .ok = mm_store_http_ok (res) && cJSON_IsArray (list),
          .generation = (uint64_t)number_field (body, "generation", 0) };
  const cJSON *partition;
  cJSON_ArrayForEach (partition, list)
    {
      uint32_t number = (uint32_t)partition->valuedouble;
      g_array_append_val (partitions, number);
    }
  mm_store_answer_join (ctx, res, &r, partitions);
  cJSON_Delete (body);
}

static void
native_join (void *ctx, const char *group, const char *member,
             uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
             mm_join_answered answered, void *answered_ctx)
{
  mm_store_call call = { .join_answered = answered, .ctx = answered_ctx };
  cJSON *request = cJSON_CreateObject ();
  cJSON_AddStringToObject (request, "member", member);
  cJSON_AddNumberToObject (request, "generation", (double)generation);
  cJSON_AddNumberToObject (request, "ttl_ms", (double)ttl_ms);
  mm_store_http_send (ctx, "POST",
                      g_strdup_printf ("/v1/groups/%s/join", group), request,
                      timeout_ms, on_join, &call);
}

static void
native_leave (void *ctx, const char *group, const char *member,
              mm_time_ms timeout_ms, mm_join_answered answered,
              void *answered_ctx)
{
  mm_store_call call = { .join_answered = answered, .ctx = answered_ctx };
  cJSON *request = cJSON_CreateObject ();
  cJSON_AddStringToObject (request, "member", member);
  mm_store_http_send (ctx, "POST",
                      g_strdup_printf ("/v1/groups/%s/leave", group), request,
                      timeout_ms, on_join, &call);
}

/* Reads rows of the form [partition, member]; leaves out malformed ones.  */
static GArray *
read_holders (const cJSON *list)
{
  GArray *holders = mm_store_holders_new ();
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    {
      const cJSON *partition = cJSON_GetArrayItem (row, 0);
      const char *member = cJSON_GetStringValue (cJSON_GetArrayItem (row, 1));
      if (!cJSON_IsNumber (partition) || !member)
        continue;
      mm_partition_holder h = { .partition = (uint32_t)partition->valuedouble,
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
  mm_store_answer_members (ctx, res, ok ? read_holders (list) : NULL);
  cJSON_Delete (body);
}

static void
native_members (void *ctx, const char *group, mm_time_ms timeout_ms,
                mm_members_answered answered, void *answered_ctx)
{
  mm_store_call call = { .members_answered = answered, .ctx = answered_ctx };
  mm_store_http_send (ctx, "GET", g_strdup_printf ("/v1/groups/%s", group),
                      NULL, timeout_ms, on_members, &call);
}

/* ---- kept jobs -------------------------------------------------------- */

/* Handles the answer to an append.  Status 409: the append is refused, because
   of its sequence number if the answer names the expected one, otherwise
   because of its epoch.  Status 503: the store has done nothing.  */
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
  r.expected_seq = (uint64_t)number_field (body, "expected", 0);
  cJSON_Delete (body);
  mm_store_answer_append (ctx, res, &r);
}

/* Appends records of kept jobs; their values are sent as Base64.  */
static void
native_append (void *ctx, const mm_append_request *a,
               mm_append_answered answered, void *answered_ctx)
{
  mm_store_call call = { .append_answered = answered, .ctx = answered_ctx };
  cJSON *request = cJSON_CreateObject ();
  cJSON_AddNumberToObject (request, "epoch", (double)a->epoch);
  cJSON_AddNumberToObject (request, "seq", (double)a->seq);
  cJSON *list = cJSON_AddArrayToObject (request, "records");
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
  mm_store_http_send (
      ctx, "POST",
      g_strdup_printf ("/v1/streams/jobs-%u/append", a->partition), request,
      a->timeout_ms, on_append, &call);
}

/* Handles a page of records of kept jobs; the values are Base64.  */
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
      mm_record rec = { .key = string_field (row, "key") };
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
  mm_store_answer_records (ctx, res, &r, records);
  cJSON_Delete (body);
}

static void
native_records (void *ctx, uint32_t partition, const char *after,
                mm_time_ms timeout_ms, mm_records_answered answered,
                void *answered_ctx)
{
  mm_store_call call = { .records_answered = answered, .ctx = answered_ctx };
  char *key = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  char *path = g_strdup_printf ("/v1/streams/jobs-%u/newest%s%s", partition,
                                key ? "?after=" : "", key ? key : "");
  mm_store_http_send (ctx, "GET", path, NULL, timeout_ms, on_job_records,
                      &call);
  g_free (key);
}

/**
 * mm_native_store_port() - makes an mm_store_port that calls a store in the
 * native protocol, such as that of the platform stand-in.
 * @s: HTTP client of the store; must outlive the port.
 *
 * Return: the port; its link_mbps is 0 until the caller sets it.
 */
mm_store_port
mm_native_store_port (mm_store_http *s)
{
  return (mm_store_port){ .newest = native_newest,
                          .tail = native_tail,
                          .join = native_join,
                          .leave = native_leave,
                          .members = native_members,
                          .append = native_append,
                          .records = native_records,
                          .ctx = s };
}
