/* Parts of prompts. */
#include "prompt.h"

struct ss_str prompt_shared(struct ss_str prompt)
{
	while (prompt.n && prompt.p[prompt.n - 1] != ',')
		prompt.n--;
	return prompt;
}

static struct ss_str up_to(struct ss_str s, char end)
{
	const char *at = s.n ? memchr(s.p, end, s.n) : NULL;

	return at ? (struct ss_str){ s.p, (size_t)(at - s.p) } : s;
}

static struct ss_str without_spaces(struct ss_str s)
{
	for (; s.n && s.p[0] == ' '; s.n--)
		s.p++;
	while (s.n && s.p[s.n - 1] == ' ')
		s.n--;
	return s;
}

bool prompt_next(struct ss_str *parts, struct ss_str *id)
{
	struct ss_str item;

	if (!parts->n)
		return false;
	item = up_to(*parts, ',');
	*id = without_spaces(up_to(item, ':'));
	parts->p += MIN(item.n + 1, parts->n);
	parts->n -= MIN(item.n + 1, parts->n);
	return true;
}

bool prompt_next_fingerprint(struct ss_str *parts, struct fingerprint *fp)
{
	struct ss_str id;

	if (!prompt_next(parts, &id))
		return false;
	*fp = fingerprint_of_part(id);
	return true;
}
