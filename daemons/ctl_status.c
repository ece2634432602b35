/* masticctl status: prints the member list.  */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>

int
ctl_status (bool json)
{
  GError *err = NULL;
  cJSON *list = ctl_members (&err);
  if (!list)
    return ctl_print_error (err);
  if (json)
    {
      char *text = cJSON_Print (list);
      printf ("%s\n", text);
      free (text);
    }
  else
    printf ("%-20s %-9s %-14s %-8s %-22s %s\n", "NAME", "KIND", "DATACENTRE",
            "STATE", "ADDRESS", "CONFIG/SLOTS");
  const cJSON *member;
  cJSON_ArrayForEach (member, cJSON_GetObjectItem (list, "members"))
    {
      bool entry = g_str_equal (ctl_json_text (member, "kind"), "entry");
      const cJSON *number
          = cJSON_GetObjectItem (member, entry ? "config_offset" : "slots");
      if (!json)
        printf ("%-20s %-9s %-14s %-8s %-22s %.0f\n",
                ctl_json_text (member, "name"), ctl_json_text (member, "kind"),
                ctl_json_text (member, "datacentre"),
                ctl_json_text (member, "state"),
                ctl_json_text (member, "addr"),
                cJSON_IsNumber (number) ? number->valuedouble : 0.0);
    }
  cJSON_Delete (list);
  return 0;
}
