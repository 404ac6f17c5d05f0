/*
 * The fuzz target. The first byte of the input selects what is fuzzed: frames,
 * settings and presets, commands and snapshots of the state, members, log
 * files, HTTP messages, event streams, the platform's bodies and headers, or a
 * page of its list with one corrupt item.
 */
#include "../../platform/platform.h"
#include "../../src/config/config.h"
#include "../../src/core/preset.h"
#include "../../src/core/state.h"
#include "../../src/disk/disk.h"
#include "../../src/node/frame.h"
#include "../../src/proxy/events.h"

#include <stdlib.h>
#include <unistd.h>

static void fuzz_frame(const uint8_t *p, size_t n)
{
	struct frame f;
	size_t len = frame_length(p, n, NULL);

	if (len == 0 || len > n || !frame_decode(p, len, &f, NULL))
		return;
	GString *again = g_string_new(NULL);

	frame_add(again, f.kind, &f.u);
	g_string_free(again, TRUE);
	frame_done(&f);
}

static void fuzz_settings(struct ss_str text)
{
	struct config c;
	struct preset p;
	struct config_models m;

	if (settings_parse(&config_type, &c, "f", text, NULL))
		config_clear(&c);
	if (preset_parse(&p, "f", text, NULL))
		preset_clear(&p);
	if (config_models_parse(&m, "f", text, NULL))
		config_models_clear(&m);
}

static void fuzz_state(struct ss_str bytes)
{
	struct ss_state *s = ss_state_new();
	struct command_result r;

	if (ss_state_restore(s, bytes))
		g_string_free(ss_state_snapshot(s), TRUE);
	ss_state_apply(s, 1, bytes, &r);
	ss_state_apply(s, 2, bytes, &r);
	ss_state_free(s);
}

static void fuzz_members(struct ss_str bytes)
{
	struct ss_raft_members m;

	if (ss_raft_decode_members(bytes, &m))
		ss_raft_clear_members(&m);
}

static void fuzz_disk(const char *name, struct ss_str bytes)
{
	static char folder[] = "/tmp/ss-fuzz-XXXXXX";
	static bool made;
	struct disk_options o = { .folder = folder };
	struct disk_state s;
	char *path;

	if (!made) {
		if (!mkdtemp(folder))
			abort();
		made = true;
	}
	path = g_build_filename(folder, name, NULL);
	g_file_set_contents(path, bytes.p, (gssize)bytes.n, NULL);
	disk_close(disk_open(&o, &s, NULL));
	unlink(path);
	g_free(path);
}

static void require(bool holds)
{
	if (!holds)
		abort();
}

/* Checks that instances that were read are usable, unreadable items have a
 * reason, and an incomplete list names no next page. */
static void check_list(const struct fleet_list *list, const char *next)
{
	for (guint i = 0; i < list->instances->len; i++) {
		const struct fleet_instance *x = &g_array_index(
			list->instances, struct fleet_instance, i);

		require(*x->id && *x->service && *x->addr && x->domain);
		require(x->slots >= 1 && x->models);
	}
	for (guint i = 0; i < list->unreadable->len; i++) {
		const struct fleet_unreadable *u = &g_array_index(
			list->unreadable, struct fleet_unreadable, i);

		require(*u->why && g_utf8_validate(u->why, -1, NULL));
		require(!strchr(u->why, '"') && !strchr(u->why, '\n'));
	}
	require(!next || (*next && list->complete));
}

/* Applies the change from a held configuration to the input. If the input is
 * accepted, the result is exactly the input. */
static void fuzz_changes(struct ss_str text)
{
	static const char held[] =
		"{\"version\":1,\"routes\":[{\"a\":1},{\"b\":2}],"
		"\"services\":[{\"c\":3}]}";
	const char *const *lists = users_platform.routing->lists;
	struct document *d = document_new();
	struct document_patch *n =
		document_compare(d, ss_str(held), lists, NULL);
	GString *got;

	n->change.version = 1;
	require(document_apply(d, &n->change, NULL));
	document_patch_free(n);
	n = document_compare(d, text, lists, NULL);
	if (n) {
		n->change.version = 2;
		require(document_apply(d, &n->change, NULL));
		got = document_text(d);
		require(ss_str_eq(ss_str_gs(got), text));
		g_string_free(got, TRUE);
	}
	document_patch_free(n);
	document_free(d);
}

/* Reads bodies in the platform's formats: an operator's configuration, a page
 * of the list and an engine's report. */
static void fuzz_bodies(struct ss_str text)
{
	struct fleet_report report;
	struct fleet_list list;
	char *next = NULL;
	struct routing *r = routing_read(users_platform.routing, text, NULL);

	routing_unref(r);
	fuzz_changes(text);
	fleet_list_init(&list);
	users_platform.read_list(text, &list, &next, NULL);
	check_list(&list, next);
	fleet_list_clear(&list);
	g_free(next);
	users_platform.read_report(text, &report, NULL);
	fleet_report_clear(&report);
}

#define ITEM(n)                                                                \
	"{\"service\":\"s\",\"addr\":\"10.0.0." n ":80\",\"zone\":\"z\","      \
	"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","                  \
	"\"coldLeftMs\":0,\"models\":[{\"name\":\"m\"}],\"id\":\"i-" n "\"}"

static bool has_id(const struct fleet_list *list, const char *id)
{
	for (guint i = 0; i < list->instances->len; i++)
		if (!strcmp(g_array_index(list->instances,
					  struct fleet_instance, i)
				    .id,
			    id))
			return true;
	return false;
}

/*
 * Corrupts the second of three items. The input consists of pairs of an
 * offset in that item and the byte to write there; 0xfe deletes one byte
 * instead, and 0xff truncates the item. The other two items and the token of
 * the next page must still be read.
 */
static void fuzz_page(const uint8_t *p, size_t n)
{
	GString *item = g_string_new(ITEM("2")), *page;
	struct fleet_list list;
	char *next = NULL;

	for (size_t i = 0; i + 1 < n && item->len; i += 2) {
		gssize at = (gssize)(p[i] % item->len);

		if (p[i + 1] == 0xff)
			g_string_truncate(item, (gsize)at);
		else if (p[i + 1] == 0xfe)
			g_string_erase(item, at, 1);
		else
			item->str[at] = (char)p[i + 1];
	}
	page = g_string_new("{\"instances\":[" ITEM("1") ",");
	g_string_append_len(page, item->str, (gssize)item->len);
	g_string_append(page, "," ITEM("3") "],\"next\":\"p-2\"}");
	fleet_list_init(&list);
	require(users_platform.read_list(ss_str_gs(page), &list, &next, NULL));
	check_list(&list, next);
	require(has_id(&list, "i-1") && has_id(&list, "i-3"));
	require(next && !strcmp(next, "p-2"));
	fleet_list_clear(&list);
	g_free(next);
	g_string_free(item, TRUE);
	g_string_free(page, TRUE);
}

/* A message that is read. */
struct message {
	GString *out;
	size_t body;	/* bytes */
	int64_t length; /* stated, of a body that isn't chunked; -1: none */
	bool head, chunked, bodiless, done;
};

/* Checks that a head which was read can be passed on as it is. */
static void check_head(const struct http1_head *h)
{
	require(h->request || (h->status >= 100 && h->status <= 599));
	for (size_t i = 0; i < h->n_fields; i++) {
		struct ss_str name = h->fields[i].name;

		require(name.n > 0);
		for (size_t k = 0; k < name.n; k++)
			require(g_ascii_isgraph(name.p[k]) && name.p[k] != ':');
	}
}

static void on_head(void *arg, const struct http1_head *h)
{
	struct platform_request_headers send = { .deadline_ms = 5,
						 .after_event = 1 };
	struct platform_answer answer;
	struct platform_call call;
	struct message *m = arg;

	check_head(h);
	m->head = true;
	m->chunked = h->chunked;
	m->length = h->chunked ? -1 : h->length;
	m->bodiless = h->status / 100 == 1 || h->status == 204 ||
		      h->status == 304;
	if (h->request) {
		users_platform.read_call(h, &call, NULL);
		users_platform.write_request(m->out, h, &send, 3);
	} else {
		users_platform.read_answer(h, &answer);
	}
}

static void on_body(void *arg, struct ss_str piece)
{
	struct message *m = arg;

	m->body += piece.n;
	g_string_append_len(m->out, piece.p, (gssize)piece.n);
}

static void on_done(void *arg)
{
	struct message *m = arg;

	require(m->head && !m->done);
	require(m->length < 0 || m->bodiless || m->body == (size_t)m->length);
	require(!m->bodiless || m->body == 0);
	m->done = true;
}

/* Reads a message in two parts up to the end of the connection, which completes
 * it only behind a head that states neither length nor chunks. */
static void read_message(bool request, struct ss_str first, struct ss_str rest)
{
	static const struct http1_ops ops = { on_head, on_body, on_done };
	struct message m = { .out = g_string_new(NULL), .length = -1 };
	struct http1_options o = {
		.request = request, .head_max = 512, .ops = &ops, .arg = &m
	};
	struct http1_reader *r = http1_reader_new(&o);
	struct evbuffer *in = evbuffer_new();

	evbuffer_add(in, first.p, first.n);
	if (http1_read(r, in, NULL) && !m.done) {
		evbuffer_add(in, rest.p, rest.n);
		if (http1_read(r, in, NULL) && !m.done && http1_read_eof(r))
			require(!request && !m.chunked && m.length < 0);
	}
	evbuffer_free(in);
	http1_reader_free(r);
	g_string_free(m.out, TRUE);
}

/* Reads a message that is received in two parts, split at the offset in the
 * second byte of the input, and one that is cut there. */
static void fuzz_http(bool request, const uint8_t *p, size_t n)
{
	size_t cut = n ? MIN((size_t)p[0], n - 1) : 0;
	struct ss_str first = { (const char *)p + 1, cut };

	if (!n)
		return;
	read_message(request, first,
		     (struct ss_str){ first.p + cut, n - 1 - cut });
	read_message(request, first, (struct ss_str){ 0 });
}

/* The position is that of the output, whatever was wrong behind it. */
static void check_output(const struct events *e, struct ss_str out)
{
	GString *again = g_string_new(NULL);
	struct events x;

	events_init(&x, -1);
	if (!events_add(&x, out, again) || x.last_id != e->last_id ||
	    x.count != e->count || !events_at_end(&x))
		abort();
	events_clear(&x);
	g_string_free(again, TRUE);
}

static void fuzz_events(struct ss_str bytes)
{
	GString *out = g_string_new(NULL);
	struct events e;
	size_t half = bytes.n / 2;

	events_init(&e, -1);
	if (events_add(&e, (struct ss_str){ bytes.p, half }, out))
		events_add(&e,
			   (struct ss_str){ bytes.p + half, bytes.n - half },
			   out);
	check_output(&e, ss_str_gs(out));
	events_clear(&e);
	g_string_free(out, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n);

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	struct ss_str rest;

	if (n < 1)
		return 0;
	rest = (struct ss_str){ (const char *)p + 1, n - 1 };
	switch (p[0] % 14) {
	case 0:
	case 1:
		fuzz_frame(p + 1, n - 1);
		break;
	case 2:
	case 3:
		fuzz_settings(rest);
		break;
	case 4:
	case 5:
		fuzz_state(rest);
		break;
	case 6:
		fuzz_members(rest);
		break;
	case 7:
		fuzz_disk(p[0] & 8 ? "snapshot" : "log", rest);
		break;
	case 8:
		fuzz_bodies(rest);
		break;
	case 9:
		fuzz_http(true, p + 1, n - 1);
		break;
	case 10:
		fuzz_http(false, p + 1, n - 1);
		break;
	case 11:
		fuzz_events(rest);
		break;
	case 12:
	case 13:
		fuzz_page(p + 1, n - 1);
		break;
	}
	return 0;
}
