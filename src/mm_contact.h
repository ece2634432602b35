/* mm_contact: tracks whether this instance and its peers reach the
   platform's service.  An instance is in contact when its calls to the
   platform are answered.  Internal.  */
#ifndef MM_CONTACT_H
#define MM_CONTACT_H

#include "masticmill.h"

/* What an instance concludes from its calls and its peers' answers.  */
typedef enum
{
  /* The platform answers, or has failed too short a time to tell.  */
  MM_STANDING_CONTACT,
  /* No peer that answers reaches the platform: no instance can take over a
     shard.  */
  MM_STANDING_OUTAGE,
  /* A peer reaches the platform: this instance's shards may have been taken
     over.  */
  MM_STANDING_DISCONNECTED,
  /* Neither the platform nor any known peer answers.  */
  MM_STANDING_ALONE
} mm_standing;

typedef struct mm_contact mm_contact;
mm_contact *mm_contact_create (mm_time_ms now);
void mm_contact_destroy (mm_contact *c);
/* Records the end of a call to the platform.  */
void mm_contact_record (mm_contact *c, bool ok, mm_time_ms now);
/* Returns whether the last call failed and the last success was more than
   MM_CONTACT_LOST_MS ago.  */
bool mm_contact_lost (const mm_contact *c, mm_time_ms now);
/* Returns whether the member list may lack live members: while contact is lost
   and for MM_LIST_GRACE_MS after it is regained.  */
bool mm_contact_list_incomplete (const mm_contact *c, mm_time_ms now);
/* Returns the HTTP status that answers a peer's ping: 200 in contact, 503 when
   contact is lost, 204 when neither is known yet.  */
unsigned mm_contact_ping_status (const mm_contact *c, mm_time_ms now);
/* Records a peer's answer to a ping: whether that peer is in contact.  */
void mm_contact_record_vote (mm_contact *c, const char *peer, bool in_contact,
                             mm_time_ms now);
/* Returns what this instance concludes.  With MM_STANDING_DISCONNECTED sets
   @peer to a peer in contact; @peer may be NULL.  @n_peers: number of live
   peers in the member list.  */
mm_standing mm_contact_standing (const mm_contact *c, uint32_t n_peers,
                                 mm_time_ms now, const char **peer);
/* Returns the wall-clock time in ms of the last call to the platform that
   failed while contact was lost, 0: none.  */
int64_t mm_contact_last_outage_wall_ms (const mm_contact *c);
const char *mm_standing_name (mm_standing s);

#endif /* MM_CONTACT_H */
