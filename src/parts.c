#include "parts.h"

#include <glib.h>
#include <string.h>

struct joining {
	char *source;
	uint64_t number;
	uint64_t total;
	uint8_t *data;
	size_t len;
	uint64_t latest; /* value of parts.added at its latest part */
};

struct parts {
	GHashTable *joining; /* source -> struct joining */
	size_t bytes;	     /* of all parts held */
	uint64_t added;	     /* number of parts so far */
};

static int parts_destructor(struct parts *parts)
{
	g_hash_table_destroy(parts->joining);
	return 0;
}

struct parts *parts_create(TALLOC_CTX *mem)
{
	struct parts *parts = talloc_zero(mem, struct parts);

	parts->joining = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(parts, parts_destructor);
	return parts;
}

size_t parts_count(size_t len)
{
	return (len + PARTS_PART_BYTES - 1) / PARTS_PART_BYTES;
}

struct msg_part parts_cut(const uint8_t *data, size_t len, uint64_t number, size_t index)
{
	size_t offset = index * PARTS_PART_BYTES;
	size_t left = len - offset;

	return (struct msg_part){
		.number = number,
		.offset = offset,
		.total = len,
		.data = {(uint8_t *)data + offset, MIN(left, PARTS_PART_BYTES)},
	};
}

static void drop(struct parts *parts, struct joining *joining)
{
	parts->bytes -= joining->len;
	g_hash_table_remove(parts->joining, joining->source);
	talloc_free(joining);
}

/*
 * Drops the messages that have waited longest for their next part, until @len bytes more fit and
 * there are not too many. Their senders may be gone; one that is not sends its state again.
 */
static void make_room(struct parts *parts, const struct joining *keep, size_t len)
{
	while (parts->bytes + len > PARTS_JOINED_MAX_BYTES ||
	       g_hash_table_size(parts->joining) > PARTS_JOINING_MAX) {
		struct joining *oldest = NULL;
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, parts->joining);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct joining *joining = value;

			if (joining != keep && (!oldest || joining->latest < oldest->latest))
				oldest = joining;
		}
		if (!oldest)
			return;
		drop(parts, oldest);
	}
}

static struct joining *begin(struct parts *parts, const char *source, const struct msg_part *part)
{
	struct joining *joining = talloc_zero(parts, struct joining);

	joining->source = talloc_strdup(joining, source);
	joining->number = part->number;
	joining->total = part->total;
	g_hash_table_insert(parts->joining, joining->source, joining);
	return joining;
}

int parts_add(struct parts *parts, const char *source, const struct msg_part *part, TALLOC_CTX *mem,
	      uint8_t **data, size_t *len)
{
	struct joining *joining = g_hash_table_lookup(parts->joining, source);

	*data = NULL;
	if (joining && (part->offset == 0 || joining->number != part->number ||
			joining->total != part->total || joining->len != part->offset)) {
		drop(parts, joining);
		joining = NULL;
	}
	if (!joining && part->offset > 0)
		return -ERR_INVALID;
	if (part->data.len == 0 || part->offset > part->total ||
	    part->data.len > part->total - part->offset) {
		if (joining)
			drop(parts, joining);
		return -ERR_INVALID;
	}
	if (part->total > PARTS_JOINED_MAX_BYTES)
		return -ERR_TOO_LARGE;
	if (!joining)
		joining = begin(parts, source, part);
	make_room(parts, joining, part->data.len);
	joining->latest = ++parts->added;
	joining->data =
		talloc_realloc(joining, joining->data, uint8_t, joining->len + part->data.len);
	memcpy(joining->data + joining->len, part->data.data, part->data.len);
	joining->len += part->data.len;
	parts->bytes += part->data.len;
	if (joining->len < joining->total)
		return 0;
	*data = talloc_steal(mem, joining->data);
	*len = joining->len;
	drop(parts, joining);
	return 0;
}
