from quetzalpass.inbound import listener_connections


class Connection:
    def __init__(self, name):
        self.name = name
        self.is_closed = False

    def force_close(self):
        self.is_closed = True


def open_many(connections, count):
    opened = [Connection(number) for number in range(count)]
    for each in opened:
        connections.add(each)
    return opened


def names_of_closed(opened):
    return [each.name for each in opened if each.is_closed]


class TestListenerConnections:
    def test_the_oldest_without_a_request_makes_room(self):
        connections = listener_connections.ListenerConnections(lambda: 3)
        opened = open_many(connections, 5)
        assert names_of_closed(opened) == [0, 1]
        assert len(connections) == 3

    def test_one_with_a_request_is_never_closed(self):
        connections = listener_connections.ListenerConnections(lambda: 3)
        busy = open_many(connections, 1)
        connections.note_busy(busy[0])
        open_many(connections, 10)
        assert not busy[0].is_closed
        assert len(connections) == 3

    def test_an_idle_one_makes_room_if_all_others_have_requests(self):
        connections = listener_connections.ListenerConnections(lambda: 2)
        opened = open_many(connections, 2)
        for each in opened:
            connections.note_busy(each)
        connections.note_idle(opened[1])
        (newest,) = open_many(connections, 1)
        assert names_of_closed(opened) == [1]
        assert not newest.is_closed

    def test_the_new_one_is_closed_if_all_others_have_requests(self):
        connections = listener_connections.ListenerConnections(lambda: 2)
        opened = open_many(connections, 2)
        for each in opened:
            connections.note_busy(each)
        (newest,) = open_many(connections, 1)
        assert newest.is_closed
        assert names_of_closed(opened) == []

    def test_closed_ones_make_room(self):
        connections = listener_connections.ListenerConnections(lambda: 2)
        opened = open_many(connections, 2)
        connections.remove(opened[0])
        (newest,) = open_many(connections, 1)
        assert not newest.is_closed
        assert names_of_closed(opened) == []
