/* Raft: the log's entries in memory. */
#include "raft_log.h"

#include "../base/wire.h"

static const struct wire_field member_fields[] = {
	{ 1, WIRE_UINT, offsetof(struct ss_raft_member, id), NULL },
	{ 2, WIRE_STR, offsetof(struct ss_raft_member, name), NULL },
	{ 3, WIRE_STR, offsetof(struct ss_raft_member, addr), NULL },
	{ 4, WIRE_BOOL, offsetof(struct ss_raft_member, voter), NULL },
};
static const struct wire_type member_type =
	WIRE_TYPE(struct ss_raft_member, member_fields);

struct members_body {
	struct wire_list members;
};

static const struct wire_field members_fields[] = {
	{ 1, WIRE_LIST, offsetof(struct members_body, members), &member_type },
};
static const struct wire_type members_type =
	WIRE_TYPE(struct members_body, members_fields);

GString *ss_raft_encode_members(const struct ss_raft_members *m)
{
	struct members_body body = { { m->m, m->n } };

	return wire_encode(&members_type, &body);
}

bool ss_raft_decode_members(struct ss_str data, struct ss_raft_members *m)
{
	struct members_body body;
	struct wire_buf buf;
	bool ok = wire_decode(&buf, data, &members_type, &body);

	memset(m, 0, sizeof(*m));
	if (ok) {
		struct ss_raft_members view = { body.members.items,
						body.members.n };

		ss_raft_copy_members(m, &view);
	}
	wire_buf_clear(&buf);
	return ok;
}

void ss_raft_copy_members(struct ss_raft_members *to,
			  const struct ss_raft_members *from)
{
	to->n = from->n;
	to->m = g_new0(struct ss_raft_member, from->n);
	for (size_t i = 0; i < from->n; i++) {
		to->m[i] = from->m[i];
		to->m[i].name.p = ss_str_dup(from->m[i].name);
		to->m[i].addr.p = ss_str_dup(from->m[i].addr);
	}
}

void ss_raft_clear_members(struct ss_raft_members *m)
{
	for (size_t i = 0; i < m->n; i++) {
		g_free((char *)m->m[i].name.p);
		g_free((char *)m->m[i].addr.p);
	}
	g_free(m->m);
	memset(m, 0, sizeof(*m));
}

static void clear_entry(void *e)
{
	g_free((char *)((struct ss_raft_entry *)e)->data.p);
}

static void clear_snapshot(struct ss_raft_snapshot *s)
{
	ss_raft_clear_members(&s->members);
	g_free((char *)s->data.p);
	memset(s, 0, sizeof(*s));
}

void raft_log_init(struct raft_log *l)
{
	memset(l, 0, sizeof(*l));
	l->entries = g_array_new(FALSE, FALSE, sizeof(struct ss_raft_entry));
	g_array_set_clear_func(l->entries, clear_entry);
}

void raft_log_clear(struct raft_log *l)
{
	g_array_unref(l->entries);
	clear_snapshot(&l->snapshot);
}

uint64_t raft_log_last(const struct raft_log *l)
{
	return l->snapshot.index + l->entries->len;
}

const struct ss_raft_entry *raft_log_get(const struct raft_log *l,
					 uint64_t index)
{
	if (index <= l->snapshot.index || index > raft_log_last(l))
		return NULL;
	return &g_array_index(l->entries, struct ss_raft_entry,
			      index - l->snapshot.index - 1);
}

uint64_t raft_log_term(const struct raft_log *l, uint64_t index)
{
	const struct ss_raft_entry *e;

	if (index == l->snapshot.index)
		return l->snapshot.term;
	e = raft_log_get(l, index);
	return e ? e->term : 0;
}

void raft_log_append(struct raft_log *l, const struct ss_raft_entry *e)
{
	struct ss_raft_entry copy = *e;

	copy.data.p = g_memdup2(e->data.p, e->data.n);
	g_array_append_val(l->entries, copy);
}

void raft_log_truncate(struct raft_log *l, uint64_t from)
{
	if (from > l->snapshot.index)
		g_array_set_size(l->entries,
				 (guint)(from - l->snapshot.index - 1));
}

void raft_log_set_snapshot(struct raft_log *l, const struct ss_raft_snapshot *s)
{
	struct ss_raft_snapshot old = l->snapshot;
	uint64_t covered = s->index - old.index;
	bool keep = raft_log_term(l, s->index) == s->term;

	if (keep && covered <= l->entries->len)
		g_array_remove_range(l->entries, 0, (guint)covered);
	else
		g_array_set_size(l->entries, 0);
	l->snapshot = *s;
	ss_raft_copy_members(&l->snapshot.members, &s->members);
	l->snapshot.data.p = g_memdup2(s->data.p, s->data.n);
	clear_snapshot(&old);
}

void raft_log_members(const struct raft_log *l, struct ss_raft_members *out,
		      uint64_t *index)
{
	for (guint i = l->entries->len; i-- > 0;) {
		const struct ss_raft_entry *e =
			&g_array_index(l->entries, struct ss_raft_entry, i);

		if (e->kind != SS_RAFT_MEMBERS ||
		    !ss_raft_decode_members(e->data, out))
			continue;
		*index = e->index;
		return;
	}
	ss_raft_copy_members(out, &l->snapshot.members);
	*index = l->snapshot.index;
}
