"""Calls that the tests of the key-value stand-in share."""

import threading

import urllib3

from emulator.waiting import wait_until


def stats(kv_url):
    return urllib3.request('GET', f'{kv_url}/stats').json()


def in_thread(call):
    """Start a call in a thread; return it and the list of its results."""
    results = []
    thread = threading.Thread(target=lambda: results.append(call()))
    thread.start()
    return thread, results


def await_watches(kv_url, count):
    wait_until(
        lambda: stats(kv_url)['waiting_watches'] == count,
        20,
        f'{count} watches',
    )
