/* Limits of the gate's memory for large requests and for callers that read
 * slowly. */
#include "gate_fix.h"

#define BODY_BYTES 4000u /* size of a request's body, in bytes */
#define ACCEPTED 3	 /* bodies of this size that fit into the memory */
/* The gate gives a quarter of its memory to request bodies. */
#define BODIES_MEMORY (4 * ACCEPTED * BODY_BYTES)
#define MEMORY (8u << 20) /* memory limit of the gate, in bytes */
/* The gate gives half of its memory to unread answers. */
#define UNREAD_MAX (MEMORY / 2)
/* Bytes by which each connection may exceed UNREAD_MAX: one read. */
#define READ_MAX (64u << 10)
#define CALLERS 12
/* Rounds of the event loop without a change that end fill_buffers(). */
#define UNCHANGED_ROUNDS 100
/* Size of an answer, in bytes: more than the kernel and the gate buffer. */
#define ANSWER_BYTES (7u << 20)

static void fix_open_memory(struct fix *f, size_t memory)
{
	struct fix_options o = { .memory = memory };

	fix_open_with(f, &o);
	set_default_routing(f);
	report_fleet(f, "web", "");
}

static double metric(struct fix *f, const char *name)
{
	GString *out = g_string_new(NULL);
	const char *at;
	double n;

	gate_tick(f->gate);
	metrics_print(f->metrics, out);
	at = strstr(out->str, name);
	assert_non_null(at);
	n = g_ascii_strtod(at + strlen(name), NULL);
	g_string_free(out, TRUE);
	return n;
}

/* A request with a body of this length, of which only a part is sent. */
static char *begin_post(size_t length, size_t sent)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, REQ("POST", "/once/x") "Content-Length: %zu\r\n\r\n",
			length);
	while (sent--)
		g_string_append_c(s, 'x');
	return g_string_free(s, FALSE);
}

/* Guards against running out of memory when many large requests arrive at the
 * same time. */
static void requests_beyond_memory_are_refused(void **state)
{
	struct caller *c[CALLERS];
	char *text = begin_post(BODY_BYTES, BODY_BYTES - strlen("last"));
	struct fix f;
	int refused = 0, accepted = 0;

	(void)state;
	fix_open_memory(&f, BODIES_MEMORY);
	script_answer(&f, 0, OK_TEXT, false, false);
	script_answer(&f, 1, OK_TEXT, false, false);
	for (int i = 0; i < CALLERS; i++) {
		c[i] = call(&f, text);
		/* One after another, so that the first ones are accepted. */
		UNTIL(&f, metric(&f, "ss_gate_held_bytes ") ==
				  MIN(i + 1, ACCEPTED) * (BODY_BYTES - 4.0));
	}
	g_free(text);
	UNTIL(&f, metric(&f, "ss_gate_no_room_total ") == CALLERS - ACCEPTED);
	for (int i = 0; i < CALLERS; i++) {
		if (i < ACCEPTED)
			caller_send(c[i], "last");
		UNTIL(&f, c[i]->got->len || c[i]->ended);
		refused += has_received(c[i], "HTTP/1.1 503 ") &&
			   has_received(c[i], "Retry-After: ");
		UNTIL(&f, refused || has_received(c[i], "hello"));
		accepted += has_received(c[i], "hello");
	}
	assert_int_equal(accepted, ACCEPTED);
	assert_int_equal(refused, CALLERS - ACCEPTED);
	assert_int_equal(f.eps[0].requests + f.eps[1].requests, ACCEPTED);
	fix_close(&f);
}

/* Guards against connections that keep the memory of a large request after its
 * answer. */
static void answered_requests_free_memory(void **state)
{
	char *text = begin_post(BODY_BYTES, BODY_BYTES);
	struct fix f;

	(void)state;
	fix_open_memory(&f, BODIES_MEMORY);
	script_answer(&f, 0, OK_TEXT, false, false);
	script_answer(&f, 1, OK_TEXT, false, false);
	for (int i = 0; i < 2 * ACCEPTED; i++) {
		struct caller *c = call(&f, text);

		UNTIL(&f, has_received(c, "hello"));
	}
	assert_int_equal(metric(&f, "ss_gate_held_bytes "), 0);
	assert_int_equal(metric(&f, "ss_gate_no_room_total "), 0);
	g_free(text);
	fix_close(&f);
}

/* Waits separately for each part of the answer, since UNTIL has a limit of
 * rounds. */
static void read_answer(struct fix *f, struct caller *c, size_t n)
{
	while (c->got->len < n) {
		size_t had = c->got->len;

		UNTIL(f, c->got->len > had);
	}
}

/* Runs the loop until all buffers are full and no more data is transferred. */
static void fill_buffers(struct fix *f)
{
	double before = -1, now = 0;

	for (int unchanged = 0; unchanged < UNCHANGED_ROUNDS;) {
		before = now;
		run_loop_once(f);
		now = metric(f, "ss_gate_unread_bytes ");
		assert_true(now <= UNREAD_MAX + CALLERS * READ_MAX);
		unchanged = now > 0 && now == before ? unchanged + 1 : 0;
	}
}

/* Guards against running out of memory because callers don't read their
 * answers, and against slow readers that block the answers of others. */
static void slow_readers_dont_block_others(void **state)
{
	GString *answer = g_string_new(NULL);
	struct caller *slow[CALLERS], *quick;
	struct fix f;

	(void)state;
	g_string_printf(answer,
			"HTTP/1.1 200 OK\r\n" HEAD "Content-Length: %u\r\n\r\n",
			ANSWER_BYTES);
	for (size_t i = 0; i < ANSWER_BYTES / 16; i++)
		g_string_append(answer, "0123456789abcdef");
	fix_open_memory(&f, MEMORY);
	script_answer(&f, 0, answer->str, false, false);
	script_answer(&f, 1, answer->str, false, false);
	for (int i = 0; i < CALLERS; i++) {
		slow[i] = call(&f, GET_SAFE);
		bufferevent_disable(slow[i]->bev, EV_READ);
	}
	fill_buffers(&f);
	quick = call(&f, GET_SAFE);
	read_answer(&f, quick, ANSWER_BYTES);
	for (int i = 0; i < CALLERS; i++)
		bufferevent_enable(slow[i]->bev, EV_READ);
	for (int i = 0; i < CALLERS; i++)
		read_answer(&f, slow[i], ANSWER_BYTES);
	g_string_free(answer, TRUE);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_beyond_memory_are_refused),
		cmocka_unit_test(answered_requests_free_memory),
		cmocka_unit_test(slow_readers_dont_block_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
