"""Every error that wasabicross raises or returns, rooted in one base."""


class WasabicrossError(Exception):
    """Base of all errors of the package."""

    #: Stable word for machines; subclasses set their own.
    code = 'error'


class LinkError(WasabicrossError):
    """Base of the errors between the system's own processes."""

    code = 'link_error'


class LinkClosed(LinkError):
    """The link ended before the message was answered."""

    code = 'link_closed'


class LinkTimeout(LinkError):
    """No answer came within the time that the sender allowed."""

    code = 'link_timeout'


class MessageMalformed(LinkError):
    """The bytes received are not a message of the protocol."""

    code = 'message_malformed'


class LinkRefused(LinkError):
    """The other side does not let this process in."""

    code = 'link_refused'
