/* The records of a cancel among those of callers.
 *
 * Owners look for the record of a job's id.  Callers of another account may cancel the same id, and
 * whose job it is may not be known when a cancel is stored, so that a record of that key could
 * replace the one of the job's account.  A cancel of an account therefore has a record with a key
 * of its own as well, in the same append.  Owners of earlier versions ignore it. */
#pragma once

#include <glib.h>

/* Returns: (transfer full): the key of the record that cancels JOB. */
char *fb_cancel_key (const char *job);
/* Returns: (transfer full) (nullable): the key of the record of ACCOUNT that cancels JOB; NULL when
 * ACCOUNT is empty. */
char *fb_cancel_account_key (const char *job, const char *account);
/* Returns: (transfer full): the account of the caller that sent CANCEL, the value of a record. */
char *fb_cancel_account (GBytes *cancel);
/* Appends the record of a job or a cancel to RECORDS; of a cancel both records.  KEY: that of the
 * job's id. */
void fb_caller_record_encode (GByteArray *records, const char *key, GBytes *value);
