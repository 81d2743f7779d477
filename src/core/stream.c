/* Ownership by the order of the log.
 *
 * A claim names the claim that it follows. The first claim in the stream that names the one in
 * force takes effect; a second one, from a race, names a predecessor that is no longer in force
 * and is superseded. All readers reach the same result without a vote. Because the claim is in
 * the stream that it governs, a record that the old owner appends after it is superseded for all
 * readers.
 *
 * The epoch is the offset of the claim (plus one, so that 0 means none), shifted left by
 * FB_EPOCH_SUB_BITS; the low bits count handovers that did not go through the log. A claim ends
 * all of these epochs of its predecessor.
 *
 * A reader that begins where the log has already dropped records does not know the claim in
 * force. It skips what it cannot validate until it reads a RENEW, from which it takes the epoch:
 * only owners write RENEW records, once in every third of the retention time. An owner that was
 * replaced may write one late, so a RENEW counts only if its writer had read up to where this
 * reader began, and past every claim that this reader has read. A claim that comes before such a
 * RENEW is accepted provisionally if its writer had read as far too; the writer of a duplicate
 * of an old claim (repeated because its answer was lost) had not. If the accepted claim was not
 * the first to name its predecessor, this has no consequences, since its writer appends nothing
 * under it.
 *
 * If no record is left from which the epoch can be taken, a claim names the offset at which its
 * writer began to read. A reader that has the whole stream accepts it exactly if a reader that
 * began there could not have known the epoch: if there is no claim and no RENEW whose writer had
 * read as far. */
#include "internal/stream.h"

#include <string.h>

struct _FbStream
{
  uint32_t shard;
  uint64_t next;  /* next offset to read */
  uint64_t epoch; /* in force, or 0 if none is known */
  uint64_t first; /* offset at which reading began, or began again after a gap; 0 if at the start */
  uint64_t validated_from; /* see fb_stream_validated_from() */
  uint64_t last_claim;     /* offset of the last accepted claim */
  uint64_t claim_read_to;  /* offset up to which its writer had read */
  uint64_t renewed_to;     /* offset up to which the writer of the last valid RENEW had read */
  gboolean gap;            /* records were dropped before they were read */
  gboolean epoch_known;    /* the claim in force is known, or that there is none */
  GHashTable *last_seq;    /* writer -> last sequence number, uint64_t owned */
};

uint64_t
fb_epoch_of_claim (uint64_t offset)
{
  return (offset + 1) << FB_EPOCH_SUB_BITS;
}

gboolean
fb_epoch_same_claim (uint64_t a, uint64_t b)
{
  return (a >> FB_EPOCH_SUB_BITS) == (b >> FB_EPOCH_SUB_BITS);
}

FbStream *
fb_stream_new (uint32_t shard)
{
  FbStream *self = g_new0 (FbStream, 1);
  self->shard = shard;
  self->epoch_known = TRUE;
  self->last_seq = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return self;
}

void
fb_stream_free (FbStream *self)
{
  g_hash_table_destroy (self->last_seq);
  g_free (self);
}

/* Returns: TRUE if RECORD is a copy of an earlier record. If the answer to an append is lost,
 * the writer repeats it, and the record is in the log twice; without this check a job could be
 * admitted or ended twice. A writer numbers its records, and only the first record with a number
 * counts. */
static gboolean
is_duplicate (FbStream *self, const fb_record *record)
{
  uint64_t *last = g_hash_table_lookup (self->last_seq, &record->writer);
  if (last != NULL && record->seq <= *last)
    return TRUE;
  g_hash_table_replace (self->last_seq, g_memdup2 (&record->writer, sizeof record->writer),
                        g_memdup2 (&record->seq, sizeof record->seq));
  return FALSE;
}

static FbStreamResult
validate_claim (FbStream *self, uint64_t offset, const fb_rec_claim *claim)
{
  if (claim->shard != self->shard)
    return FB_STREAM_SUPERSEDED;
  gboolean follows = (claim->previous >> FB_EPOCH_SUB_BITS) == (self->epoch >> FB_EPOCH_SUB_BITS);
  gboolean nothing_known = self->epoch == 0 && !self->epoch_known;
  gboolean first_after_gap = nothing_known && claim->read_to >= self->first;
  gboolean claims_after_loss = !nothing_known && claim->previous == 0
                               && claim->first > self->renewed_to
                               && claim->first > self->claim_read_to;
  if ((!follows || nothing_known) && !first_after_gap && !claims_after_loss)
    return FB_STREAM_SUPERSEDED;
  self->epoch = fb_epoch_of_claim (offset);
  self->last_claim = offset;
  self->claim_read_to = claim->read_to;
  return FB_STREAM_CLAIMED;
}

static FbStreamResult
validate_renew (FbStream *self, uint64_t offset, const fb_record *record)
{
  uint64_t read_to = record->body.fb_rec_body_u.renew.read_to;
  gboolean read_far_enough = read_to >= self->first && read_to > self->last_claim;
  if (!self->epoch_known && read_far_enough)
    {
      gboolean same = fb_epoch_same_claim (record->epoch, self->epoch);
      self->epoch = MAX (record->epoch, same ? self->epoch : 0);
      self->epoch_known = TRUE;
      self->renewed_to = read_to;
      self->validated_from = offset;
      return same ? FB_STREAM_OK : FB_STREAM_CLAIMED;
    }
  if (!fb_epoch_same_claim (record->epoch, self->epoch) || record->epoch < self->epoch)
    return FB_STREAM_SUPERSEDED;
  self->epoch = record->epoch;
  self->renewed_to = MAX (self->renewed_to, read_to);
  return FB_STREAM_OK;
}

static FbStreamResult
validate (FbStream *self, uint64_t offset, const fb_record *record)
{
  if (is_duplicate (self, record))
    return FB_STREAM_DUPLICATE;
  if (record->body.type == FB_REC_CLAIM)
    return validate_claim (self, offset, &record->body.fb_rec_body_u.claim);
  if (record->body.type == FB_REC_RENEW)
    return validate_renew (self, offset, record);
  if (!fb_epoch_same_claim (record->epoch, self->epoch) || record->epoch < self->epoch)
    return FB_STREAM_SUPERSEDED;
  self->epoch = record->epoch;
  return FB_STREAM_OK;
}

FbStreamResult
fb_stream_read (FbStream *self, uint64_t offset, const void *data, gsize len, fb_record *record)
{
  if (offset < self->next)
    return FB_STREAM_OLD;
  self->next = offset + 1;
  if (!fb_codec_decode_record (data, len, record))
    return FB_STREAM_MALFORMED;
  FbStreamResult result = validate (self, offset, record);
  if (result != FB_STREAM_OK && result != FB_STREAM_CLAIMED)
    fb_codec_clear_record (record);
  return result;
}

void
fb_stream_set_first_retained (FbStream *self, uint64_t first)
{
  if (first <= self->next)
    return;
  self->next = first;
  self->first = first;
  self->validated_from = G_MAXUINT64;
  self->gap = TRUE;
  self->epoch_known = FALSE;
}

uint64_t
fb_stream_next (const FbStream *self)
{
  return self->next;
}

uint64_t
fb_stream_epoch (const FbStream *self)
{
  return self->epoch;
}

gboolean
fb_stream_has_gap (const FbStream *self, uint64_t *first)
{
  *first = self->first;
  return self->gap;
}

uint64_t
fb_stream_validated_from (const FbStream *self)
{
  return self->validated_from;
}
