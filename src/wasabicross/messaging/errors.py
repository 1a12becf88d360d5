"""Errors of the links between the processes of a deployment."""

from wasabicross.exceptions import WasabicrossError


class LinkError(WasabicrossError):
    """Base of the errors of links."""


class LinkClosed(LinkError):
    """The link was closed before the answer to a message arrived."""


class LinkTimeout(LinkError):
    """No answer arrived within the sender's time limit."""


class MessageMalformed(LinkError):
    """The received bytes are not a valid message of the protocol."""


class LinkRefused(LinkError):
    """The other process refused the link or the request."""
