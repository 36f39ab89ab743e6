import collections
import random

from quetzalpass import ids
from quetzalpass.routing import queues

from .conftest import make_item


def push(queue, name, organisation, cost, **rest):
    queued = queues.QueuedWork(make_item(name, organisation, **rest), cost, 0.0)
    queue.push(queued)
    return queued


def pop_next(queue):
    (head,) = queue.heads(1)
    queue.pop_head(head)
    return head


class TestFairQueue:
    def test_service_follows_the_weights_for_any_costs(self):
        weights = {ids.OrganisationId("large"): 3.0}
        queue = queues.FairQueue(weights)
        generator = random.Random(2)
        for number in range(400):
            push(queue, f"l{number}", "large", generator.choice((10, 1000)))
            push(queue, f"s{number}", "small", generator.choice((10, 100)))
        served = collections.Counter()
        while served["large"] + served["small"] < 40_000:
            head = pop_next(queue)
            served[head.item.organisation] += head.cost
        assert 2.6 < served["large"] / served["small"] < 3.4

    def test_idle_organisation_gets_no_credit_but_is_served_soon(self):
        queue = queues.FairQueue({})
        for number in range(50):
            push(queue, f"f{number}", "flood", 100)
        for _ in range(20):
            pop_next(queue)
        push(queue, "s1", "small", 100)
        push(queue, "s2", "small", 100)
        order = [pop_next(queue).item.organisation for _ in range(4)]
        assert order.count("small") == 2
        assert order[0] == "flood" or order[1] == "flood"

    def test_removed_requests_are_never_served(self):
        queue = queues.FairQueue({})
        pushed = [push(queue, str(n), f"org{n % 3}", 10) for n in range(30)]
        for queued in pushed[::2]:
            queue.remove(queued)
        push(queue, "again", "org0", 10)
        served = [pop_next(queue) for _ in range(queue.size)]
        assert not any(queued.removed for queued in served)
        assert len(served) == 16
        assert queue.heads(3) == []
        assert queue.size == 0

    def test_each_organisation_has_one_head(self):
        queue = queues.FairQueue({})
        for number in range(12):
            push(queue, str(number), f"org{number % 4}", 10)
        heads = queue.heads(10)
        assert len({head.item.organisation for head in heads}) == len(heads) == 4
