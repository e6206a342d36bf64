"""The metadata store stand-in can come back from a copy of itself."""

import anyio
import httpx

from primrosereel.standin import _metadata_store as metadata_store


def run_store(scenario):
    """Run a scenario with a store and a client of it."""

    async def main():
        store = metadata_store.MetadataStore()
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                await tasks.start(store.server.serve)
                url = f'http://127.0.0.1:{store.server.port}'
                async with httpx.AsyncClient(base_url=url) as client:
                    await scenario(store, client)
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def watch(client, after, wait_ms=0):
    query = {'prefix': '', 'after': after, 'waitMs': wait_ms}
    return await client.get('/v1/kv-watch', params=query)


def test_store_loses_what_was_written_after_the_copy():
    """Guards against a stand-in that keeps revisions over a return.

    Tests of a return would then pass without one.
    """

    async def scenario(store, client):
        store.put('a', 1)
        copy = store.copy()
        store.put('a', 2)
        store.put('b', 1)
        before = (await client.get('/v1/kv-range')).json()
        store.restore(copy)
        after = (await client.get('/v1/kv-range')).json()
        assert [item['key'] for item in after['items']] == ['a']
        assert after['items'][0]['value'] != before['items'][0]['value']
        assert after['at'] == before['at'] - 2
        assert (await watch(client, before['at'])).status_code == 410
        store.put('c', 1)
        (event,) = (await watch(client, after['at'])).json()['events']
        assert event['revision'] == after['at'] + 1

    run_store(scenario)


def test_every_answer_has_the_era_and_each_return_raises_it():
    """Guards against errors and refused watches without ``Store-Era``."""

    async def scenario(store, client):
        copy = store.copy()
        store.put('a', 1)
        revision = (await client.get('/v1/kv-range')).json()['at']
        store.restore(copy)
        answers = [await client.get('/v1/kv-range'), await client.get('/no')]
        answers.append(await watch(client, revision))
        store.mode = metadata_store.StoreMode.BUSY
        answers.append(await client.get('/v1/kv-range'))
        assert [a.status_code for a in answers] == [200, 404, 410, 503]
        assert {a.headers['Store-Era'] for a in answers} == {'2'}

    run_store(scenario)


def test_waiting_watch_of_a_lost_revision_is_refused():
    """Guards against a watch that waits for a revision that is lost."""

    async def scenario(store, client):
        copy = store.copy()
        store.put('a', 1)
        revision = (await client.get('/v1/kv-range')).json()['at']
        statuses = []

        async def wait():
            answer = await watch(client, revision, 5000)
            statuses.append(answer.status_code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(0.2)
            store.restore(copy)
        assert statuses == [410]

    run_store(scenario)
