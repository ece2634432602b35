/* masticctl status: the member list.  */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>

/* The member list, one line each; the list lags behind its members.  */
int
ctl_status (bool json)
{
  GError *err = NULL;
  cJSON *list = ctl_members (&err);
  if (!list)
    return ctl_fail (err);
  if (json)
    {
      char *text = cJSON_Print (list);
      printf ("%s\n", text);
      free (text);
    }
  else
    printf ("%-20s %-9s %-14s %-8s %-22s %s\n", "NAME", "KIND", "DATACENTRE",
            "STATE", "ADDRESS", "CONFIG/SLOTS");
  const cJSON *m;
  cJSON_ArrayForEach (m, cJSON_GetObjectItem (list, "members"))
    {
      bool entry = g_str_equal (ctl_text (m, "kind"), "entry");
      const cJSON *n
          = cJSON_GetObjectItem (m, entry ? "config_offset" : "slots");
      if (!json)
        printf ("%-20s %-9s %-14s %-8s %-22s %.0f\n", ctl_text (m, "name"),
                ctl_text (m, "kind"), ctl_text (m, "datacentre"),
                ctl_text (m, "state"), ctl_text (m, "addr"),
                cJSON_IsNumber (n) ? n->valuedouble : 0.0);
    }
  cJSON_Delete (list);
  return 0;
}
