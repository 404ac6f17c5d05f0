"""Customers of a soak, their keys and limits."""
# The last one's limit is below what it sends; the others have none.
CUSTOMERS = ("north", "south", "meter")
PER_S = BURST = 60             # tokens: some 400 a second are asked for
PLAIN = 20                     # of a request that tells none


def key(name):
    return "key-of-" + name


def customer_of(rid):
    """Of a caller's request; the same at each run of a seed."""
    n = int(rid[1:])
    return CUSTOMERS[2] if n % 5 == 4 else CUSTOMERS[n % 2]


def bearer(name):
    return {"Authorization": "Bearer " + key(name)}


def listed():
    """As a routing lists them."""
    out = [{"name": n, "keys": [key(n)]} for n in CUSTOMERS]
    out[-1].update(unit="token", ratePerS=PER_S, burst=BURST, rawTokens=PLAIN)
    return out


def cost(request):
    return 10 + request.total if request.model else PLAIN
