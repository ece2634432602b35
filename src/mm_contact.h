/* mm_contact: tracks whether this instance and its peers reach the
   platform's service, and what an instance may do without contact.
   Internal.  */
#ifndef MM_CONTACT_H
#define MM_CONTACT_H

#include "masticmill.h"

typedef enum
{
  MM_STANDING_CONTACT, /* the platform answers, or failed only just now */
  MM_STANDING_OUTAGE,  /* no peer that answers reaches it: no owner changes */
  MM_STANDING_CUT,     /* a peer reaches it: this instance may be replaced */
  MM_STANDING_ALONE    /* neither the platform nor any known peer answers */
} mm_standing;

typedef struct mm_contact mm_contact;
mm_contact *mm_contact_create (mm_time_ms now);
void mm_contact_destroy (mm_contact *c);
void mm_contact_record (mm_contact *c, bool ok,
                        mm_time_ms now); /* a call ended */
bool mm_contact_lost (const mm_contact *c, mm_time_ms now);
bool mm_contact_list_incomplete (const mm_contact *c, mm_time_ms now);
unsigned mm_contact_ping_status (const mm_contact *c, mm_time_ms now);
void mm_contact_record_vote (mm_contact *c, const char *peer, bool in_contact,
                             mm_time_ms now); /* a peer answered a ping */
mm_standing mm_contact_standing (const mm_contact *c, uint32_t n_peers,
                                 mm_time_ms now, const char **peer);
int64_t mm_contact_last_outage_wall_ms (const mm_contact *c); /* 0: none */
const char *mm_standing_name (mm_standing s);

#endif /* MM_CONTACT_H */
