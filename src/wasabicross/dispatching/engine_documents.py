"""JSON documents in the answers of engines."""

from typing import Literal

from pydantic import BaseModel, Field


class ErrorBody(BaseModel):
    """Description of an error.

    :param code: stable identifier of the kind of error.
    :param message: human-readable text.
    :param highest_term: highest fencing term that the engine has seen, given
        with the code ``stale_fencing_term``.
    """

    code: str = ''
    message: str = ''
    highest_term: int = 0


class ErrorDocument(BaseModel):
    """Answer to a failed request or order."""

    error: ErrorBody = Field(default_factory=ErrorBody)


class ModelCard(BaseModel):
    """A model that calls can use; a load of an adapter has a parent."""

    id: str
    parent: str | None = None


class ModelsDocument(BaseModel):
    """Answer to ``GET /v1/models``."""

    data: tuple[ModelCard, ...]
    slots: int
    batch_size: int


class LoadDocument(BaseModel):
    """Answer to ``GET /load``."""

    running: int
    waiting: int
    by_load: dict[str, int]
    age_ms: float


class CacheEventCard(BaseModel):
    """A change of the prompt cache."""

    number: int
    kind: Literal['stored', 'removed']
    load_name: str
    prefix: str


class CacheEventsDocument(BaseModel):
    """Answer to ``GET /cache_events``."""

    events: tuple[CacheEventCard, ...]
