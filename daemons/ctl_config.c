/* masticctl config: publish a configuration, show the one in force.  */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The head live entry instances report: the highest config offset.  */
static int64_t
reported_head (cJSON *list, uint32_t *n_live, uint32_t *n_at, int64_t want)
{
  int64_t head = -1;
  const cJSON *m;
  *n_live = *n_at = 0;
  cJSON_ArrayForEach (m, cJSON_GetObjectItem (list, "members"))
    {
      const char *kind
          = cJSON_GetStringValue (cJSON_GetObjectItem (m, "kind"));
      const char *state
          = cJSON_GetStringValue (cJSON_GetObjectItem (m, "state"));
      if (!kind || !g_str_equal (kind, "entry") || !state
          || !g_str_equal (state, "live"))
        continue;
      int64_t off = (int64_t)cJSON_GetNumberValue (
          cJSON_GetObjectItem (m, "config_offset"));
      head = MAX (head, off);
      (*n_live)++;
      if (off >= want)
        (*n_at)++;
    }
  return head;
}

/* Guards against an append whose answer was lost after it took effect:
   the operator would publish again and lose to their own record.  The
   log is read until it answers; the record is ours when its text is.
   Return: its offset, or -1 when the log does not have it.  */
static int64_t
find_record (const char *rec, int64_t parent, int64_t wait_ms)
{
  cJSON *want = cJSON_Parse (rec);
  char *url = g_strdup_printf ("%s/v1/log/config?from=%" G_GINT64_FORMAT,
                               ctl_platform_url, parent + 1);
  mm_time_ms until = mm_clock_now_ms () + wait_ms;
  int64_t offset = -1;
  bool read = false;
  while (!read && mm_clock_now_ms () < until)
    {
      char *body = ctl_get (url, NULL);
      cJSON *o = cJSON_Parse (body ? body : "");
      const cJSON *r;
      read = o != NULL;
      cJSON_ArrayForEach (r, cJSON_GetObjectItem (o, "records"))
        {
          if (cJSON_Compare (cJSON_GetObjectItem (r, "data"), want, true))
            offset = (int64_t)cJSON_GetNumberValue (
                cJSON_GetObjectItem (r, "offset"));
        }
      cJSON_Delete (o);
      g_free (body);
      if (!read)
        g_usleep (100000);
    }
  g_free (url);
  cJSON_Delete (want);
  return offset;
}

/* Base and overlays from the command line, as a checked record edited
   from @parent.  */
static char *
read_record (int argc, char **argv, int64_t parent, GError **error)
{
  char *rec = NULL;
  char *base = ctl_read (argv[0], error);
  if (!base)
    return NULL;
  GPtrArray *sites = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  bool ok = true;
  for (int i = 1; i < argc && ok; i++)
    {
      char *eq = strchr (argv[i], '=');
      char *text = NULL;
      ok = eq && g_file_get_contents (eq + 1, &text, NULL, NULL);
      if (!ok)
        {
          g_set_error (error, MM_ERROR, MM_ERROR_IO,
                       "%s: want SITE=FILE, readable", argv[i]);
          break;
        }
      g_ptr_array_add (sites, g_strndup (argv[i], (gsize)(eq - argv[i])));
      g_ptr_array_add (texts, text);
    }
  g_ptr_array_add (sites, NULL);
  g_ptr_array_add (texts, NULL);
  if (ok)
    rec = mm_cfg_record_text ("config", parent, base,
                              (const char *const *)sites->pdata,
                              (const char *const *)texts->pdata, error);
  g_free (base);
  g_ptr_array_free (sites, TRUE);
  g_ptr_array_free (texts, TRUE);
  return rec;
}

/* Append a record.  Return: its offset, or -1 with @error set.  */
static int64_t
append_record (const char *rec, int64_t parent, int64_t wait_ms,
               GError **error)
{
  char *url = g_strdup_printf ("%s/v1/log/config", ctl_platform_url);
  long status = 0;
  GError *lost = NULL;
  char *answer = mm_http_call_sync ("POST", url, rec, 5000, &status, &lost);
  cJSON *a = cJSON_Parse (answer ? answer : "");
  int64_t offset
      = status == 200
            ? (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (a, "offset"))
            : find_record (rec, parent, wait_ms);
  if (offset < 0)
    g_set_error (error, MM_ERROR, MM_ERROR_PLATFORM,
                 "append answered %ld (%s); the record is not in the log",
                 status, lost ? lost->message : answer);
  cJSON_Delete (a);
  g_clear_error (&lost);
  g_free (answer);
  g_free (url);
  return offset;
}

/* Was the record at @offset accepted, if the head is @head?  A later head
   does not say: it may be a snapshot of our change or an edit of it.  Each
   accepted record names its parent, so the way back from the head either
   meets ours or passes it by.  */
static bool
descends_from (int64_t head, int64_t offset)
{
  char *url = g_strdup_printf ("%s/v1/log/config?from=%" G_GINT64_FORMAT,
                               ctl_platform_url, offset);
  char *body = ctl_get (url, NULL);
  cJSON *o = cJSON_Parse (body ? body : "");
  cJSON *records = cJSON_GetObjectItem (o, "records");
  int64_t at = head;
  for (int i = cJSON_GetArraySize (records) - 1; i >= 0 && at > offset; i--)
    {
      const cJSON *r = cJSON_GetArrayItem (records, i);
      const cJSON *parent
          = cJSON_GetObjectItem (cJSON_GetObjectItem (r, "data"), "parent");
      if ((int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (r, "offset"))
              == at
          && cJSON_IsNumber (parent))
        at = (int64_t)parent->valuedouble;
    }
  cJSON_Delete (o);
  g_free (body);
  g_free (url);
  return at == offset;
}

/* Wait until every live instance reports the offset, or a later one that
   builds on it.  */
static bool
wait_in_force (int64_t offset, int64_t wait_ms, GError **error)
{
  mm_time_ms until = mm_clock_now_ms () + wait_ms;
  uint32_t live = 0, at = 0;
  while (mm_clock_now_ms () < until)
    {
      cJSON *list = ctl_members (NULL);
      int64_t head = list ? reported_head (list, &live, &at, offset) : -1;
      cJSON_Delete (list);
      if (head > offset && !descends_from (head, offset))
        {
          g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_REJECTED,
                       "offset %" G_GINT64_FORMAT
                       " lost to a concurrent change (head %" G_GINT64_FORMAT
                       "); edit again from the head",
                       offset, head);
          return false;
        }
      if (live && at == live)
        {
          printf ("in force at %u live entry instances\n", live);
          return true;
        }
      g_usleep (100000);
    }
  g_set_error (error, MM_ERROR, MM_ERROR_TIMEOUT,
               "not yet in force everywhere after %" G_GINT64_FORMAT
               " ms (%u of %u instances)",
               wait_ms, at, live);
  return false;
}

int
ctl_config_publish (int argc, char **argv, int64_t wait_ms)
{
  GError *err = NULL;
  cJSON *list = ctl_members (&err);
  if (!list)
    return ctl_fail (err);
  uint32_t live, at;
  int64_t parent = reported_head (list, &live, &at, 0);
  cJSON_Delete (list);
  char *rec = read_record (argc, argv, parent, &err);
  if (!rec)
    return ctl_fail (err);
  int64_t offset = append_record (rec, parent, wait_ms, &err);
  free (rec);
  if (offset < 0)
    return ctl_fail (err);
  printf ("published config at offset %" G_GINT64_FORMAT
          " (edited from %" G_GINT64_FORMAT ")\n",
          offset, parent);
  return wait_in_force (offset, wait_ms, &err) ? 0 : ctl_fail (err);
}

/* The configuration in force, as the newest offset that live entry
   instances report has it.  */
int
ctl_config_show (void)
{
  GError *err = NULL;
  cJSON *list = ctl_members (&err);
  if (!list)
    return ctl_fail (err);
  uint32_t live, at;
  int64_t head = reported_head (list, &live, &at, 0);
  cJSON_Delete (list);
  if (head < 0)
    {
      printf ("# no configuration published; %u live entry instances run on "
              "defaults\n",
              live);
      return 0;
    }
  char *url = g_strdup_printf ("%s/v1/log/config?max=1&from=%" G_GINT64_FORMAT,
                               ctl_platform_url, head);
  char *body = ctl_get (url, &err);
  g_free (url);
  if (!body)
    return ctl_fail (err);
  cJSON *o = cJSON_Parse (body);
  g_free (body);
  const cJSON *r = cJSON_GetArrayItem (cJSON_GetObjectItem (o, "records"), 0);
  const cJSON *data = cJSON_GetObjectItem (r, "data");
  printf ("# offset %" G_GINT64_FORMAT ", %u live entry instances\n%s", head,
          live, ctl_text (data, "base"));
  const cJSON *overlay;
  cJSON_ArrayForEach (overlay, cJSON_GetObjectItem (data, "overlays"))
    {
      printf ("\n# overlay of site %s\n%s", overlay->string,
              overlay->valuestring);
    }
  cJSON_Delete (o);
  return 0;
}
