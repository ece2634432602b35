/* mm_settings: copy a TOML document into a settings struct, checking
   every key against a table of specs.  An unknown key, a wrong type or a
   value out of range stops with a GError that names source, line, key
   and reason.  */
#include "masticmill.h"

#include <string.h>

/* "teams.*" takes any key under "teams.".  */
static bool
in_table (const mm_setting_spec *s, const char *key)
{
  size_t prefix = strlen (s->key) - 1;
  return strncmp (s->key, key, prefix) == 0 && key[prefix];
}

static const mm_setting_spec *
find_spec (const mm_setting_spec *specs, const char *key)
{
  for (const mm_setting_spec *s = specs; s->key; s++)
    if (strcmp (s->key, key) == 0
        || (s->type == MM_SETTING_INT_TABLE && in_table (s, key)))
      return s;
  return NULL;
}

static const char *
type_name (mm_setting_type t)
{
  switch (t)
    {
    case MM_SETTING_INT:
      return "an integer";
    case MM_SETTING_BOOL:
      return "a boolean";
    case MM_SETTING_STRING:
      return "a string";
    case MM_SETTING_STRINGS:
      return "an array of strings";
    case MM_SETTING_FLOAT:
      return "a number";
    case MM_SETTING_INT_TABLE:
      return "an integer";
    }
  return "?";
}

static bool
type_matches (mm_setting_type want, mm_toml_type have)
{
  switch (want)
    {
    case MM_SETTING_INT:
    case MM_SETTING_INT_TABLE:
      return have == MM_TOML_INT;
    case MM_SETTING_BOOL:
      return have == MM_TOML_BOOL;
    case MM_SETTING_STRING:
      return have == MM_TOML_STRING;
    case MM_SETTING_STRINGS:
      return have == MM_TOML_STRING_ARRAY;
    case MM_SETTING_FLOAT:
      return have == MM_TOML_FLOAT || have == MM_TOML_INT;
    }
  return false;
}

static void
store (const mm_setting_spec *spec, void *target, const mm_toml_entry *e)
{
  char *field = (char *)target + spec->offset;
  switch (spec->type)
    {
    case MM_SETTING_INT:
      *(int64_t *)field = e->int_value;
      break;
    case MM_SETTING_BOOL:
      *(bool *)field = e->bool_value;
      break;
    case MM_SETTING_STRING:
      g_free (*(char **)field);
      *(char **)field = g_strdup (e->string_value);
      break;
    case MM_SETTING_STRINGS:
      g_strfreev (*(char ***)field);
      *(char ***)field = g_strdupv (e->strings);
      break;
    case MM_SETTING_INT_TABLE:
      if (!*(GHashTable **)field)
        *(GHashTable **)field
            = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (*(GHashTable **)field,
                           g_strdup (e->key + strlen (spec->key) - 1),
                           GSIZE_TO_POINTER ((gsize)e->int_value));
      break;
    case MM_SETTING_FLOAT:
      *(double *)field
          = e->type == MM_TOML_INT ? (double)e->int_value : e->float_value;
      break;
    }
}

/**
 * mm_settings_apply() - check a document and copy it into @target.
 * @specs: table ended by an entry whose key is NULL.
 * @target: struct the specs' offsets point into; string fields must be
 *          NULL or g_malloc'ed, since they are replaced.
 * @t: the document.
 * @error: MM_ERROR_CONFIG_UNKNOWN_KEY, MM_ERROR_CONFIG_TYPE or
 *         MM_ERROR_CONFIG_RANGE, naming "source:line: key: reason".
 *
 * Nothing is copied unless every entry checks, so a bad file leaves the
 * running settings whole.  Return: true on success.
 */
bool
mm_settings_apply (const mm_setting_spec *specs, void *target,
                   const mm_toml *t, GError **error)
{
  const char *src = mm_toml_source (t);
  for (size_t i = 0; i < mm_toml_count (t); i++)
    {
      const mm_toml_entry *e = mm_toml_at (t, i);
      const mm_setting_spec *spec = find_spec (specs, e->key);
      if (!spec)
        {
          g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_UNKNOWN_KEY,
                       "%s:%u: %s: unknown key", src, e->line, e->key);
          return false;
        }
      if (!type_matches (spec->type, e->type))
        {
          g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                       "%s:%u: %s: must be %s", src, e->line, e->key,
                       type_name (spec->type));
          return false;
        }
      if (e->type == MM_TOML_INT && spec->type != MM_SETTING_FLOAT
          && (e->int_value < spec->min || e->int_value > spec->max))
        {
          g_set_error (
              error, MM_ERROR, MM_ERROR_CONFIG_RANGE,
              "%s:%u: %s: %" G_GINT64_FORMAT
              " is out of range %" G_GINT64_FORMAT "..%" G_GINT64_FORMAT,
              src, e->line, e->key, e->int_value, spec->min, spec->max);
          return false;
        }
    }
  for (size_t i = 0; i < mm_toml_count (t); i++)
    {
      const mm_toml_entry *e = mm_toml_at (t, i);
      store (find_spec (specs, e->key), target, e);
    }
  return true;
}

/**
 * mm_settings_load_file() - read, check and apply a settings file.
 * @specs: as for mm_settings_apply().
 * @target: as for mm_settings_apply().
 * @path: the TOML file.
 * @error: MM_ERROR_IO, MM_ERROR_CONFIG_SYNTAX or a check failure.
 *
 * Return: true on success.
 */
bool
mm_settings_load_file (const mm_setting_spec *specs, void *target,
                       const char *path, GError **error)
{
  mm_toml *t = mm_toml_parse_file (path, error);
  if (!t)
    return false;
  bool ok = mm_settings_apply (specs, target, t, error);
  mm_toml_destroy (t);
  return ok;
}
