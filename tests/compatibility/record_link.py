"""Record the link's wire format, handshakes, protocol errors and random conversations.

Run once: python -m tests.compatibility.record_link
"""

from cressrock.link import messages
from tests.compatibility import link_cases
from tests.compatibility.canonical import save

if __name__ == "__main__":
    save("link_wire", [messages.encode(value).hex() for value in link_cases.wire_values()])
    save("link_refusals", link_cases.protocol_violations())
    save("link_handshakes", link_cases.handshakes())
    save("link_conversations", list(link_cases.conversations()))
