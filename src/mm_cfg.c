/* mm_cfg: configuration records from the platform log.

   A record is {"kind":"config"|"snapshot","parent":P,"base":TOML,
   "overlays":{SITE:TOML}}.  It is accepted when its parent is the offset
   of the head (the last accepted record, -1 before the first one) and the
   base is valid by mm_cfg_setting_specs, alone and with each overlay.  Every
   instance reads the same log in the same order and checks the overlays of all
   sites, not only its own, so every instance accepts the same records.
   When two operators publish edits of the same head, the first record in
   the log is accepted and every instance refuses the second.  The head
   only moves forward, so an applied configuration is never reverted.

   A snapshot is a copy of the head, appended before retention drops the
   head.  An edit made while a snapshot is appended must not be refused
   because of the snapshot: all offsets from the change itself (its
   "origin") to the head hold the same configuration, and each of them is
   a valid parent.  */
#include "mm_cfg.h"

#include "config.h"

#include <cJSON.h>
#include <stddef.h>

struct mm_cfg
{
  char *site;   /* the site whose overlay applies here */
  int64_t head; /* offset of the last accepted record, -1: none yet */
  /* Offset of the head, or of the change that the head is a snapshot of.  */
  int64_t origin;
  char *head_record;        /* JSON text of the head, or NULL */
  mm_cfg_settings settings; /* settings in force */
  uint64_t rejected;        /* number of records refused */
};

/* The keys, limits and help texts of the published settings.  */
const mm_setting_spec mm_cfg_setting_specs[] = {
  { "limits.max_tasks_per_job", MM_SETTING_INT,
    offsetof (mm_cfg_settings, max_tasks_per_job), 1, 100000, "largest job" },
  { "limits.max_queued_tasks", MM_SETTING_INT,
    offsetof (mm_cfg_settings, max_queued_tasks), 1, 10000000,
    "tasks waiting or running on one instance" },
  { "limits.team_max_queued_tasks", MM_SETTING_INT,
    offsetof (mm_cfg_settings, team_max_queued_tasks), 1, 10000000,
    "tasks of one team waiting or running in a data centre" },
  { "teams.*", MM_SETTING_INT_TABLE, offsetof (mm_cfg_settings, team_quotas),
    1, 10000000,
    "tasks of the named team waiting or running in a data centre" },
  { "dispatch.retry_budget", MM_SETTING_INT,
    offsetof (mm_cfg_settings, retry_budget), 0, 10,
    "retries per idempotent task" },
  { "dispatch.timeout_ms", MM_SETTING_INT,
    offsetof (mm_cfg_settings, dispatch_timeout_ms), 10, 600000,
    "upstream call timeout" },
  { "dispatch.retry_after_s", MM_SETTING_INT,
    offsetof (mm_cfg_settings, retry_after_s), 1, 3600,
    "Retry-After sent to refused callers" },
  { "dispatch.eject_after_failures", MM_SETTING_INT,
    offsetof (mm_cfg_settings, eject_after_failures), 1, 1000,
    "failures in a row that eject an upstream" },
  { "dispatch.eject_ms", MM_SETTING_INT, offsetof (mm_cfg_settings, eject_ms),
    10, 3600000, "how long an ejection lasts" },
  { NULL },
};

/**
 * mm_cfg_settings_clear() - free the memory that the settings own.
 * @k: the settings.
 */
void
mm_cfg_settings_clear (mm_cfg_settings *k)
{
  if (k->team_quotas)
    g_hash_table_destroy (k->team_quotas);
  k->team_quotas = NULL;
}

/**
 * mm_cfg_settings_team_quota() - get a team's quota in a data centre.
 * @k: the settings in force.
 * @team: the team.
 *
 * Return: the most tasks of the team that may wait or run in the data
 * centre: its entry in the table "teams", or the default for all teams.
 */
int64_t
mm_cfg_settings_team_quota (const mm_cfg_settings *k, const char *team)
{
  gpointer quota
      = k->team_quotas ? g_hash_table_lookup (k->team_quotas, team) : NULL;
  return quota ? (int64_t)GPOINTER_TO_SIZE (quota) : k->team_max_queued_tasks;
}

/**
 * mm_cfg_settings_defaults() - set the settings used before any is published.
 * @k: set; its old content is not freed.
 */
void
mm_cfg_settings_defaults (mm_cfg_settings *k)
{
  k->team_quotas = NULL;
  k->max_tasks_per_job = MM_DEFAULT_MAX_TASKS_PER_JOB;
  k->max_queued_tasks = MM_DEFAULT_MAX_QUEUED_TASKS;
  k->team_max_queued_tasks = MM_DEFAULT_MAX_QUEUED_TASKS;
  k->retry_budget = MM_DEFAULT_RETRY_BUDGET;
  k->dispatch_timeout_ms = MM_DEFAULT_DISPATCH_TIMEOUT_MS;
  k->retry_after_s = MM_DEFAULT_RETRY_AFTER_S;
  k->eject_after_failures = MM_DEFAULT_EJECT_AFTER_FAILURES;
  k->eject_ms = MM_DEFAULT_EJECT_MS;
}

/**
 * mm_cfg_create() - create a config state with the default settings.
 * @site: name of the site whose overlays apply.
 *
 * Return: the config state, to free with mm_cfg_destroy().
 */
mm_cfg *
mm_cfg_create (const char *site)
{
  mm_cfg *c = g_new0 (mm_cfg, 1);
  c->site = g_strdup (site);
  c->head = c->origin = -1;
  mm_cfg_settings_defaults (&c->settings);
  return c;
}

void
mm_cfg_destroy (mm_cfg *c)
{
  if (!c)
    return;
  mm_cfg_settings_clear (&c->settings);
  g_free (c->site);
  g_free (c->head_record);
  g_free (c);
}

/* Builds the settings of one site from a record: the defaults, then the
   base, then the site's overlay.  With @site NULL no overlay is applied.
   Returns true when @out was set; the caller clears it.  */
static bool
settings_for_site (const cJSON *rec, const char *site, mm_cfg_settings *out,
                   GError **error)
{
  const cJSON *base = cJSON_GetObjectItemCaseSensitive (rec, "base");
  const cJSON *overlay_map
      = cJSON_GetObjectItemCaseSensitive (rec, "overlays");
  if (!cJSON_IsString (base))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST,
                   "config record has no base");
      return false;
    }
  mm_toml *t = mm_toml_parse_string (base->valuestring, "base", error);
  if (!t)
    return false;
  const cJSON *overlay
      = site ? cJSON_GetObjectItemCaseSensitive (overlay_map, site) : NULL;
  if (cJSON_IsString (overlay))
    {
      mm_toml *o = mm_toml_parse_string (overlay->valuestring, site, error);
      if (!o)
        {
          mm_toml_destroy (t);
          return false;
        }
      mm_toml_overlay (t, o);
      mm_toml_destroy (o);
    }
  mm_cfg_settings_defaults (out);
  bool ok = mm_settings_apply (mm_cfg_setting_specs, out, t, error);
  if (!ok)
    mm_cfg_settings_clear (out);
  mm_toml_destroy (t);
  return ok;
}

/* Returns whether a record is valid without an overlay and for every site
   that it names.  The result does not depend on the site of the reader.  */
static bool
valid_for_all_sites (const cJSON *rec, GError **error)
{
  mm_cfg_settings k;
  if (!settings_for_site (rec, NULL, &k, error))
    return false;
  mm_cfg_settings_clear (&k);
  const cJSON *overlay_map
      = cJSON_GetObjectItemCaseSensitive (rec, "overlays");
  const cJSON *overlay;
  cJSON_ArrayForEach (overlay, overlay_map)
    {
      if (!settings_for_site (rec, overlay->string, &k, error))
        return false;
      mm_cfg_settings_clear (&k);
    }
  return true;
}

/* Makes a valid record the head and puts its settings into force.  A record
   that is not valid for every site is refused.  */
static bool
apply_record (mm_cfg *c, int64_t offset, const cJSON *rec, const char *text,
              GError **error)
{
  mm_cfg_settings k;
  if (!valid_for_all_sites (rec, error)
      || !settings_for_site (rec, c->site, &k, error))
    {
      c->rejected++;
      return false;
    }
  const char *kind
      = cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (rec, "kind"));
  const cJSON *origin = cJSON_GetObjectItemCaseSensitive (rec, "origin");
  bool is_snapshot
      = kind && g_str_equal (kind, "snapshot") && cJSON_IsNumber (origin);
  c->origin = is_snapshot ? (int64_t)origin->valuedouble : offset;
  mm_cfg_settings_clear (&c->settings);
  c->settings = k;
  c->head = offset;
  g_free (c->head_record);
  c->head_record = g_strdup (text);
  return true;
}

/**
 * mm_cfg_apply() - apply the next record of the config stream.
 * @c: the config state.
 * @offset: the record's log offset; records must come in log order.
 * @record: the record's JSON text.
 * @error: MM_ERROR_CONFIG_REJECTED when the parent is neither the head, nor
 *         the change that the head is a snapshot of, nor an offset between
 *         them; MM_ERROR_BAD_REQUEST or a settings error when the record is
 *         not valid.
 *
 * Return: true when the record became the head and is in force; false
 * without @error when its offset is not past the head.
 */
bool
mm_cfg_apply (mm_cfg *c, int64_t offset, const char *record, GError **error)
{
  if (offset <= c->head)
    return false; /* already read: the head never moves back */
  cJSON *rec = cJSON_Parse (record);
  const cJSON *parent = cJSON_GetObjectItemCaseSensitive (rec, "parent");
  bool ok = false;
  if (!cJSON_IsNumber (parent))
    g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST,
                 "config record %" G_GINT64_FORMAT " has no parent", offset);
  else if ((int64_t)parent->valuedouble < c->origin
           || (int64_t)parent->valuedouble > c->head)
    {
      c->rejected++;
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_REJECTED,
                   "config record %" G_GINT64_FORMAT
                   " was edited from %" G_GINT64_FORMAT
                   " but the head was %" G_GINT64_FORMAT,
                   offset, (int64_t)parent->valuedouble, c->head);
    }
  else
    ok = apply_record (c, offset, rec, record, error);
  cJSON_Delete (rec);
  return ok;
}

/**
 * mm_cfg_adopt() - make a record the head without checking its parent.
 * @c: the config state, just created.
 * @offset: the record's log offset.
 * @record: the record's JSON text.
 * @error: MM_ERROR_BAD_REQUEST or a settings error when the record is not
 *         valid.
 *
 * An instance that starts after retention has dropped the first records of
 * the stream adopts the head that live instances report.
 *
 * Return: true when the record became the head; false without @error when
 * its offset is not past the head.
 */
bool
mm_cfg_adopt (mm_cfg *c, int64_t offset, const char *record, GError **error)
{
  if (offset <= c->head)
    return false;
  cJSON *rec = cJSON_Parse (record);
  bool ok = rec && apply_record (c, offset, rec, record, error);
  if (!rec)
    g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST, "record not JSON");
  cJSON_Delete (rec);
  return ok;
}

int64_t
mm_cfg_head (const mm_cfg *c)
{
  return c->head;
}

const mm_cfg_settings *
mm_cfg_current (const mm_cfg *c)
{
  return &c->settings;
}

const char *
mm_cfg_head_record (const mm_cfg *c)
{
  return c->head_record;
}

uint64_t
mm_cfg_rejected (const mm_cfg *c)
{
  return c->rejected;
}

/**
 * mm_cfg_make_record() - build the JSON text of a config record, unchecked.
 * @kind: "config" or "snapshot".
 * @parent: offset of the record that was edited, -1 for the first record.
 * @base: base TOML text.
 * @sites: NULL-terminated site names, or NULL.
 * @overlays: TOML text of each site's overlay, in the order of @sites.
 *
 * Return: newly allocated text, to free with free().
 */
char *
mm_cfg_make_record (const char *kind, int64_t parent, const char *base,
                    const char *const *sites, const char *const *overlays)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "kind", kind);
  cJSON_AddNumberToObject (o, "parent", (double)parent);
  cJSON_AddStringToObject (o, "base", base);
  cJSON *overlay_map = cJSON_AddObjectToObject (o, "overlays");
  for (size_t i = 0; sites && sites[i]; i++)
    cJSON_AddStringToObject (overlay_map, sites[i], overlays[i]);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

/**
 * mm_cfg_snapshot_record() - build a snapshot record of the head.
 * @c: the config state.
 *
 * The snapshot is appended before retention drops the head, so that an
 * instance that starts later still finds the configuration in force.  The
 * snapshot's parent is the head, so a snapshot that is appended after a
 * newer change is refused like any stale edit.
 *
 * Return: newly allocated text, to free with free(), or NULL when there is
 * no head.
 */
char *
mm_cfg_snapshot_record (const mm_cfg *c)
{
  if (!c->head_record)
    return NULL;
  cJSON *o = cJSON_Parse (c->head_record);
  cJSON_ReplaceItemInObject (o, "kind", cJSON_CreateString ("snapshot"));
  cJSON_ReplaceItemInObject (o, "parent",
                             cJSON_CreateNumber ((double)c->head));
  cJSON_DeleteItemFromObject (o, "origin");
  cJSON_AddNumberToObject (o, "origin", (double)c->origin);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

/**
 * mm_cfg_record_text() - build and check a config record for publishing.
 * @kind: "config" or "snapshot".
 * @parent: offset of the record that the operator edited, -1 for the first
 *          record.
 * @base: base TOML text.
 * @sites: NULL-terminated site names, or NULL.
 * @overlays: TOML text of each site's overlay, in the order of @sites.
 * @error: the first settings error of the base or of an overlay, naming the
 *         site, line and key; the record must not be published then.
 *
 * Return: the record's JSON text, to free with free(), or NULL with @error
 * set.
 */
char *
mm_cfg_record_text (const char *kind, int64_t parent, const char *base,
                    const char *const *sites, const char *const *overlays,
                    GError **error)
{
  char *text = mm_cfg_make_record (kind, parent, base, sites, overlays);
  cJSON *rec = cJSON_Parse (text);
  bool ok = valid_for_all_sites (rec, error);
  cJSON_Delete (rec);
  if (ok)
    return text;
  free (text);
  return NULL;
}
