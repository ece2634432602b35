/* Checks a TOML text against a table of setting specs.  A mistake gives a
   typed error that names the line, the key and the reason.  */
#include <masticmill.h>

#include <stddef.h>
#include <stdio.h>

typedef struct
{
  int64_t port;
  char *name;
} demo_settings;

static const mm_setting_spec specs[] = {
  { "demo.port", MM_SETTING_INT, offsetof (demo_settings, port), 1, 65535,
    "TCP port" },
  { "demo.name", MM_SETTING_STRING, offsetof (demo_settings, name), 0, 0,
    "a name" },
  { NULL },
};

/* Applies a TOML text to default settings and prints the result.  */
static void
try_text (const char *text)
{
  demo_settings s = { .port = 7100, .name = g_strdup ("unnamed") };
  GError *error = NULL;
  mm_toml *t = mm_toml_parse_string (text, "demo.toml", &error);
  if (t && mm_settings_apply (specs, &s, t, &error))
    printf ("port %ld, name %s\n", (long)s.port, s.name);
  else
    printf ("%s: %s\n", mm_error_code_name (error->code), error->message);
  g_clear_error (&error);
  mm_toml_destroy (t);
  g_free (s.name);
}

int
main (void)
{
  try_text ("[demo]\nport = 8080\nname = \"centro-1\"\n");
  try_text ("[demo]\nport = 99999\n");
  try_text ("[demo]\nprot = 8080\n");
  return 0;
}
